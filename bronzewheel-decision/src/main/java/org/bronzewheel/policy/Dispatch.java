package org.bronzewheel.policy;

import org.bronzewheel.routing.OpenCall;

/**
 * The decision to send a piece of work to a worker now.
 *
 * @param <T> the type of the work
 * @param item the work
 * @param request what it asked
 * @param call the open call; its end must be reported
 * @param queuedNanos the time that the work waited
 */
public record Dispatch<T>(T item, StageRequest request, OpenCall call, long queuedNanos) {}
