package org.bronzewheel.claim;

import java.util.List;
import org.bronzewheel.vm.VmList;

/**
 * The routers of a VM list that vote on claims.
 *
 * @param revision the revision of the VM list
 * @param voters the live and leaving routers of the list
 */
public record VoterList(long revision, List<Voter> voters) {
    /**
     * Extracts the routers from a VM list.
     *
     * @param list the list
     * @return its routers
     */
    public static VoterList of(VmList list) {
        return new VoterList(
                list.revision(),
                list.routers().stream()
                        .map(vm -> new Voter(vm.vmId(), vm.failureDomain()))
                        .toList());
    }

    /**
     * Returns the number of routers that form a majority.
     *
     * @return the number, at least 1
     */
    int majority() {
        return voters.size() / 2 + 1;
    }
}
