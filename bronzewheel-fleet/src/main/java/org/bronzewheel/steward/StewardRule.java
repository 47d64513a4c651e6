package org.bronzewheel.steward;

/** A safety rule of stewards; tests disable one at a time to show that each is needed. */
enum StewardRule {
    /**
     * A voter grants a lease to no other router until the last one that it granted has expired or
     * been released.
     */
    SUCCESSOR_WAITS,
    /**
     * After a restart, a voter grants nothing until all leases that it may have granted before have
     * expired, since its grants are not stored.
     */
    RESTARTED_VOTER_WAITS,
    /** An order is sent only if the lease is certain to outlast it, checked just before sending. */
    CHECK_BEFORE_SENDING,
    /**
     * A voter grants nothing to a router whose configuration is older than one that the voter
     * knows.
     */
    CONFIGURATION_NEVER_FALLS
}
