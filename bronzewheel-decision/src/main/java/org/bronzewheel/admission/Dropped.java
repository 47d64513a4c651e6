package org.bronzewheel.admission;

/**
 * Work that was dropped from a queue because it could no longer be in time.
 *
 * @param <T> the type of the work
 * @param item the work
 * @param refusal the reason
 */
public record Dropped<T>(T item, Refusal refusal) {}
