package org.bronzewheel.policy;

import org.bronzewheel.routing.OpenCall;

/**
 * The decision to send a work item to a worker now.
 *
 * @param <T> the type of the work
 * @param item the work item
 * @param request the stage request
 * @param call the open call, whose end must be reported to the pool policy
 * @param queuedNanos the time that the work item was queued
 */
public record Dispatch<T>(T item, StageRequest request, OpenCall call, long queuedNanos) {}
