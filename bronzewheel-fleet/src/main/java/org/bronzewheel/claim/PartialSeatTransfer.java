package org.bronzewheel.claim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.bronzewheel.claim.ClaimMessage.SeatTransfer;

/**
 * The parts of a seat transfer that the heir has received so far.
 *
 * @param parts parts by number
 */
record PartialSeatTransfer(Map<Long, SeatTransfer> parts) {
    static final PartialSeatTransfer NONE = new PartialSeatTransfer(Map.of());

    PartialSeatTransfer with(SeatTransfer part) {
        Map<Long, SeatTransfer> more = new TreeMap<>(parts);
        more.put(part.part(), part);
        return new PartialSeatTransfer(more);
    }

    /** Returns all votes of the seat, or empty while a part is missing. */
    Optional<List<TransferredVote>> completeVotes() {
        List<TransferredVote> votes = new ArrayList<>();
        long expected = 0;
        for (SeatTransfer part : parts.values()) {
            votes.addAll(part.votes());
            expected = part.parts();
        }
        return parts.size() == expected ? Optional.of(votes) : Optional.empty();
    }
}
