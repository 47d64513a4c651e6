package org.bronzewheel.admission;

/**
 * A queued work item.
 *
 * @param <T> the type of the work
 * @param item the work item
 * @param request its admission attributes
 * @param sequence its arrival sequence number
 * @param enqueuedNanos the time when it was queued
 */
public record Queued<T>(T item, AdmissionRequest request, long sequence, long enqueuedNanos) {}
