package org.bronzewheel.membership;

/**
 * A rule that prevents false suspicions; tests disable rules one by one to show that each is
 * needed.
 */
enum DetectorRule {
    /** Other routers are asked to probe a target that does not acknowledge. */
    ASK_HELPERS,
    /**
     * A probe round without a message from any other router does not count as a missed probe, as
     * the fault may be this router's own.
     */
    DOUBT_SELF,
    /** The time in which this router itself was paused is excluded from all timeouts. */
    FORGIVE_OWN_PAUSE,
    /**
     * A suspect becomes alive again only by refuting the suspicion; a message from it isn't enough.
     */
    WAIT_FOR_REFUTATION
}
