package org.bronzewheel.membership;

import java.util.List;

/** A message between failure detectors; each carries states of members. */
sealed interface DetectorMessage {
    /** Returns the member states that the message carries. */
    List<MemberState> states();

    /** Asks the receiver to acknowledge. */
    record Probe(long sequence, List<MemberState> states) implements DetectorMessage {}

    /** Reports that the target of a probe acknowledged. */
    record Ack(long sequence, String target, List<MemberState> states) implements DetectorMessage {}

    /** Asks the receiver to probe a target that did not acknowledge to the sender. */
    record ProbeRequest(long sequence, String target, List<MemberState> states)
            implements DetectorMessage {}

    /** Reports that the target of a probe request did not acknowledge. */
    record ProbeFailed(long sequence, String target, List<MemberState> states)
            implements DetectorMessage {}

    /** Carries states only. */
    record Gossip(List<MemberState> states) implements DetectorMessage {}
}
