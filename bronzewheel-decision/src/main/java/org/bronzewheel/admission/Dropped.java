package org.bronzewheel.admission;

/**
 * A work item that was dropped from a queue because it could no longer meet its deadline.
 *
 * @param <T> the type of the work
 * @param item the work item
 * @param refusal the reason
 */
public record Dropped<T>(T item, Refusal refusal) {}
