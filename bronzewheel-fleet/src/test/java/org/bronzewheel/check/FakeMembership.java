package org.bronzewheel.check;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import java.util.List;
import java.util.stream.IntStream;
import org.bronzewheel.membership.Member;
import org.bronzewheel.membership.MemberHealth;
import org.bronzewheel.membership.MembershipService;
import org.bronzewheel.membership.MembershipView;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmList;
import org.bronzewheel.vm.VmRole;
import org.bronzewheel.vm.VmState;

/** A membership service whose VM list is set by the test. */
public final class FakeMembership implements MembershipService {
    private final BehaviorProcessor<MembershipView> views =
            BehaviorProcessor.createDefault(MembershipView.EMPTY);

    /** Creates a list of routers r0 to r(n-1), distributed over the failure domains a, b and c. */
    public static VmList routers(long revision, int count) {
        List<Vm> vms =
                IntStream.range(0, count)
                        .mapToObj(
                                i ->
                                        new Vm(
                                                "r" + i,
                                                VmRole.ROUTER,
                                                VmState.LIVE,
                                                String.valueOf((char) ('a' + i % 3)),
                                                "",
                                                ""))
                        .toList();
        return new VmList(revision, vms);
    }

    public void setList(VmList list) {
        List<Member> members =
                list.routers().stream()
                        .map(vm -> new Member(vm, MemberHealth.ALIVE, 1, list.revision(), 1))
                        .toList();
        views.onNext(new MembershipView(list, members));
    }

    @Override
    public MembershipView current() {
        return views.getValue();
    }

    @Override
    public Flowable<MembershipView> changes() {
        return views;
    }

    @Override
    public void announceLeaving() {}

    @Override
    public void start() {}

    @Override
    public void stop() {}
}
