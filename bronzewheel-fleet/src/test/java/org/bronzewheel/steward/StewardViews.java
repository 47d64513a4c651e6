package org.bronzewheel.steward;

import java.util.List;
import java.util.Set;
import org.bronzewheel.membership.Member;
import org.bronzewheel.membership.MemberHealth;
import org.bronzewheel.membership.MembershipView;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmList;
import org.bronzewheel.vm.VmRole;
import org.bronzewheel.vm.VmState;

/** Membership views in which some routers are suspected of having failed. */
final class StewardViews {
    private StewardViews() {}

    static MembershipView of(List<String> vmIds, Set<String> suspects) {
        List<Member> members = vmIds.stream().map(id -> member(id, suspects.contains(id))).toList();
        return new MembershipView(
                new VmList(1, members.stream().map(Member::vm).toList()), members);
    }

    private static Member member(String vmId, boolean suspect) {
        Vm vm = new Vm(vmId, VmRole.ROUTER, VmState.LIVE, "d", "", "");
        return new Member(vm, suspect ? MemberHealth.SUSPECT : MemberHealth.ALIVE, 1, 1, 1);
    }
}
