package org.bronzewheel.shedding;

import java.util.function.IntToDoubleFunction;

/**
 * The capacity of a pool whose upstreams work in parallel.
 *
 * @param blockedMillis the time until the pool accepts work, in milliseconds
 * @param callMillis the expected duration of a call, in milliseconds
 * @param leastCallMillis the least duration of a call, in milliseconds
 * @param guaranteedShare the share of the capacity that is guaranteed to a rank, from 0 to 1
 */
public record PoolCapacity(
        double blockedMillis,
        double callMillis,
        double leastCallMillis,
        IntToDoubleFunction guaranteedShare) {}
