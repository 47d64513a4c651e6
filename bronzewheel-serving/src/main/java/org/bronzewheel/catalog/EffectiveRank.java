package org.bronzewheel.catalog;

/**
 * The rank of a request, from the priorities of its workspace and its route.
 *
 * @param value the rank; 0 is the most urgent
 * @param engineUrgency the urgency sent to model engines, from 1, the most urgent, to 9
 */
public record EffectiveRank(int value, int engineUrgency) {}
