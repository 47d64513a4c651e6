package org.bronzewheel.claim;

import java.util.List;

/**
 * How much may happen in one exhaustive exploration.
 *
 * @param name names it in reports
 * @param routers the number of routers, named r0, r1 and so on
 * @param claimants who claims the key, each entry once, in any order
 * @param keyAheadMillis how far the key's own time lies ahead, in milliseconds; -1 for a key
 *     without its own time
 * @param drops the number of lost messages
 * @param duplicates the number of doubled messages
 * @param crashes the number of restarts without memory
 * @param handOvers the number of planned stops of the last router
 * @param learners who learns, at any time, of a second list without the first router and with one
 *     more
 * @param runs whether sending a granted request upstream is a step of its own
 * @param advancesMillis steps of time that may be taken, each at most once, in this order
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
