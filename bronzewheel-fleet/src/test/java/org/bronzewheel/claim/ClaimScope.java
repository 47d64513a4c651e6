package org.bronzewheel.claim;

import java.util.List;

/**
 * The bounds of one exhaustive model check.
 *
 * @param name the name in reports
 * @param routers the number of routers, named r0, r1 and so on
 * @param claimants the routers that claim the key, one claim per entry
 * @param keyAheadMillis how far the creation time in the key lies in the future, in milliseconds;
 *     -1 for a key without a creation time
 * @param drops the number of lost messages
 * @param duplicates the number of duplicated messages
 * @param crashes the number of restarts with loss of all votes
 * @param handOvers the number of graceful shutdowns of the last router
 * @param learners routers that receive, at any time, a second list without the first router and
 *     with one new router
 * @param runs whether sending a granted request upstream is a separate step
 * @param advancesMillis time advances, each at most once and in this order, in milliseconds
 */
record ClaimScope(
        String name,
        int routers,
        List<String> claimants,
        long keyAheadMillis,
        int drops,
        int duplicates,
        int crashes,
        int handOvers,
        List<String> learners,
        boolean runs,
        List<Long> advancesMillis) {}
