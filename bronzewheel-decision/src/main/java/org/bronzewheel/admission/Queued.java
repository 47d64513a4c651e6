package org.bronzewheel.admission;

/**
 * A piece of work in a queue.
 *
 * @param <T> the type of the work
 * @param item the work
 * @param request what it asks
 * @param sequence its number in the order of arrival
 * @param enqueuedNanos when it came
 */
public record Queued<T>(T item, AdmissionRequest request, long sequence, long enqueuedNanos) {}
