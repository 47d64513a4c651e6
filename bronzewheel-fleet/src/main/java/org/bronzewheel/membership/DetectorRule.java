package org.bronzewheel.membership;

/** A rule against false suspicions, which a test can switch off to prove that it is needed. */
enum DetectorRule {
    /** Others are asked to probe a target that does not acknowledge. */
    ASK_HELPERS,
    /** A round in which no other router was heard proves nothing against a target. */
    DOUBT_SELF,
    /** The time in which this router stood still counts against nobody. */
    FORGIVE_OWN_PAUSE,
    /** A suspect is alive again only once it has refuted the suspicion. */
    WAIT_FOR_REFUTATION
}
