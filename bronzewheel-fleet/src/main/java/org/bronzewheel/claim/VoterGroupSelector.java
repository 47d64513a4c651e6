package org.bronzewheel.claim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzewheel.membership.RendezvousHash;
import org.bronzewheel.request.IdempotencyKey;

/** Selects the voter group of a key by rendezvous hashing. */
final class VoterGroupSelector {
    /** The maximum size of a group. */
    static final int MAX_SEATS = 5;

    private VoterGroupSelector() {}

    /** Selects an odd number of routers, spread over failure domains, in rendezvous order. */
    static List<String> select(IdempotencyKey key, VoterList list) {
        String keyText = key.workspace() + '\n' + key.text();
        List<ScoredVoter> candidates = new ArrayList<>(list.voters().size());
        for (Voter voter : list.voters()) {
            candidates.add(new ScoredVoter(voter, RendezvousHash.score(keyText, voter.vmId())));
        }
        candidates.sort(
                Comparator.comparingLong(ScoredVoter::score)
                        .thenComparing(scored -> scored.voter().vmId()));
        return spread(candidates, seatCount(candidates.size()));
    }

    /** Returns the number of seats of a group: 1, 3 or 5, or 0 without voters. */
    static int seatCount(int voters) {
        if (voters >= MAX_SEATS) {
            return MAX_SEATS;
        }
        return voters >= 3 ? 3 : Math.min(voters, 1);
    }

    private static List<String> spread(List<ScoredVoter> candidates, int seats) {
        Map<String, Integer> usedByDomain = new HashMap<>();
        List<String> group = new ArrayList<>(seats);
        for (int round = 0; group.size() < seats; round++) {
            for (ScoredVoter candidate : candidates) {
                Voter voter = candidate.voter();
                int used = usedByDomain.getOrDefault(voter.failureDomain(), 0);
                if (group.size() < seats && used == round && !group.contains(voter.vmId())) {
                    usedByDomain.put(voter.failureDomain(), used + 1);
                    group.add(voter.vmId());
                }
            }
        }
        return group;
    }

    private record ScoredVoter(Voter voter, long score) {}
}
