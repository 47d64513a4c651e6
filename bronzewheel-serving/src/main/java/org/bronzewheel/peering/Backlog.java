package org.bronzewheel.peering;

import java.util.List;

/**
 * The work of a stage service, as its owner tells it.
 *
 * @param waitMillis the time until a new job would be in a call, in milliseconds, for the ranks
 *     from 0
 * @param callMillis the time that a call takes, in milliseconds
 */
public record Backlog(List<Long> waitMillis, long callMillis) {}
