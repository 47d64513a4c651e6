package org.bronzewheel.check;

import java.util.List;
import java.util.Optional;

/**
 * The result of checking a model.
 *
 * @param states the number of distinct states visited
 * @param transitions the number of transitions taken
 * @param depth the length up to which all schedules were explored
 * @param complete whether all states within the scope were visited
 * @param violation the violated property, or empty
 * @param schedule the shortest schedule that violates it, empty otherwise
 */
public record ModelCheckResult(
        int states,
        long transitions,
        int depth,
        boolean complete,
        Optional<String> violation,
        List<String> schedule) {}
