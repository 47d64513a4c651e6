package org.bronzewheel.examples;

import io.reactivex.rxjava3.core.Flowable;
import java.util.List;
import org.bronzewheel.membership.Member;
import org.bronzewheel.membership.MemberHealth;
import org.bronzewheel.membership.MembershipService;
import org.bronzewheel.membership.MembershipView;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmList;
import org.bronzewheel.vm.VmRole;
import org.bronzewheel.vm.VmState;

/** A membership that never changes. */
record FixedMembership(MembershipView current) implements MembershipService {
    static FixedMembership of(List<String> vmIds) {
        List<Vm> vms = vmIds.stream().map(FixedMembership::router).toList();
        List<Member> members =
                vms.stream().map(vm -> new Member(vm, MemberHealth.ALIVE, 1, 1, 1)).toList();
        return new FixedMembership(new MembershipView(new VmList(1, vms), members));
    }

    private static Vm router(String vmId) {
        return new Vm(vmId, VmRole.ROUTER, VmState.LIVE, "domain-of-" + vmId, "", "");
    }

    @Override
    public Flowable<MembershipView> changes() {
        return Flowable.just(current);
    }

    @Override
    public void announceLeaving() {
        // The membership is fixed.
    }

    @Override
    public void start() {
        // No resources to acquire.
    }

    @Override
    public void stop() {
        // No resources to release.
    }
}
