package org.bronzewheel.membership;

import java.util.List;
import java.util.Optional;
import org.bronzewheel.vm.VmList;
import org.bronzewheel.vm.VmState;

/**
 * The routers and upstream VMs as this router sees them now.
 *
 * @param list the newest VM list known
 * @param members its routers, ordered by VM id
 */
public record MembershipView(VmList list, List<Member> members) {
    /** The view before any VM list is known. */
    public static final MembershipView EMPTY = new MembershipView(VmList.EMPTY, List.of());

    /**
     * Finds a router.
     *
     * @param vmId its VM
     * @return the member, or empty where it is not listed
     */
    public Optional<Member> find(String vmId) {
        return members.stream().filter(m -> m.vm().vmId().equals(vmId)).findFirst();
    }

    /**
     * Tells whether a VM, router or upstream, may get new work by the newest list.
     *
     * @param vmId the VM
     * @return whether it is live, leaving or not listed; UNKNOWN before the first list
     */
    public VmPresence presence(String vmId) {
        if (list.revision() == 0) {
            return VmPresence.UNKNOWN;
        }
        return list.find(vmId)
                .map(vm -> vm.state() == VmState.LIVE ? VmPresence.LIVE : VmPresence.LEAVING)
                .orElse(VmPresence.ABSENT);
    }
}
