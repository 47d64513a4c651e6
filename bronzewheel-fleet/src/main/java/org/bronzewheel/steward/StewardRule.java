package org.bronzewheel.steward;

/** A safety rule of stewards, which a test can switch off to prove that it is needed. */
enum StewardRule {
    /** A voter grants a lease to nobody else before the last one it granted has run out. */
    SUCCESSOR_WAITS,
    /** A voter without memory grants nothing until any lease from before its start has run out. */
    RESTARTED_VOTER_WAITS,
    /** An order leaves only while the lease is sure to last, checked just before it leaves. */
    CHECK_BEFORE_SENDING,
    /** A voter grants nothing to a router whose configuration is older than one it knows. */
    CONFIGURATION_NEVER_FALLS
}
