package org.bronzewheel.rules;

/**
 * A class of requests that share a priority and a deadline.
 *
 * @param name the name, unique among request classes
 * @param priority the order of service, 0 first
 * @param deadlineMillis time from arrival to the whole answer, in milliseconds
 * @param floorPercent the share of capacity kept for it under contention, in percent
 * @param extraCostPercent the cost that hedges and retries may add, in percent; trades cost for
 *     attainment
 */
public record RequestClass(
        String name, int priority, long deadlineMillis, int floorPercent, int extraCostPercent) {}
