package org.bronzewheel.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.bronzewheel.document.RelayPeers;
import org.bronzewheel.vm.Vm;

/** Selects the readers of published documents and the neighbours of each router in the relay. */
public final class RelayPeerSelector {
    private static final int READERS_PER_FAILURE_DOMAIN = 2;
    private static final String KEY = "reader";

    private RelayPeerSelector() {}

    /**
     * Returns the relay peers of a router and whether it is a reader.
     *
     * @param view the membership as it sees it
     * @param vmId its VM
     * @return its neighbours among the reachable routers, and whether it is a reader: one of the
     *     first two live routers of its failure domain by rendezvous hash
     */
    public static RelayPeers select(MembershipView view, String vmId) {
        Optional<Member> self = view.find(vmId);
        List<Vm> reachable =
                view.members().stream()
                        .filter(member -> member.health() != MemberHealth.SUSPECT)
                        .map(Member::vm)
                        .toList();
        if (self.isEmpty()) {
            return ofUnlisted(reachable);
        }
        RingOverlay overlay = RingOverlay.of(self.get().vm(), reachable);
        return new RelayPeers(
                overlay.neighbours(), isReader(view, self.get()), view.members().size());
    }

    /**
     * Tells whether two views lead to the same selection, at less cost than computing both.
     *
     * @param before a view
     * @param after another view
     * @return true where both have the same list and the same health of each router
     */
    public static boolean selectsSamePeers(MembershipView before, MembershipView after) {
        return before.list().revision() == after.list().revision()
                && healths(before).equals(healths(after));
    }

    private static List<MemberHealth> healths(MembershipView view) {
        return view.members().stream().map(Member::health).toList();
    }

    /**
     * A router that is not listed yet uses a few others as neighbours and reads the platform
     * itself.
     */
    private static RelayPeers ofUnlisted(List<Vm> reachable) {
        List<String> some =
                reachable.stream().map(Vm::vmId).limit(READERS_PER_FAILURE_DOMAIN).toList();
        return new RelayPeers(some, true, reachable.size() + 1);
    }

    private static boolean isReader(MembershipView view, Member self) {
        String domain = self.vm().failureDomain();
        return view.members().stream()
                .filter(member -> member.health() == MemberHealth.ALIVE)
                .map(Member::vm)
                .filter(vm -> vm.failureDomain().equals(domain))
                .sorted(Comparator.comparingLong((Vm vm) -> RendezvousHash.score(KEY, vm.vmId())))
                .limit(READERS_PER_FAILURE_DOMAIN)
                .anyMatch(vm -> vm.vmId().equals(self.vm().vmId()));
    }
}
