package org.bronzewheel.rules;

/**
 * A class of requests that share a priority and a deadline.
 *
 * @param name the name, unique among request classes
 * @param priority the scheduling priority, 0 is the highest
 * @param deadlineMillis the time from arrival to the complete answer, in milliseconds
 * @param floorPercent the share of capacity reserved for it under contention, in percent
 * @param extraCostPercent the extra cost that hedges and retries may cause, in percent; a higher
 *     value lets more requests meet their deadline at a higher cost
 */
public record RequestClass(
        String name, int priority, long deadlineMillis, int floorPercent, int extraCostPercent) {}
