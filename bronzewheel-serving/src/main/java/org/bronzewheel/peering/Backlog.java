package org.bronzewheel.peering;

import java.util.List;

/**
 * The backlog of a stage service, as reported by its owner.
 *
 * @param waitMillis the expected time until a new job would be part of a call, in milliseconds, by
 *     rank from 0
 * @param callMillis the time that a call takes, in milliseconds
 */
public record Backlog(List<Long> waitMillis, long callMillis) {}
