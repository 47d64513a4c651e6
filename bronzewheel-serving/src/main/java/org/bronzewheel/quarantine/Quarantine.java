package org.bronzewheel.quarantine;

/**
 * The quarantine of one prompt part.
 *
 * @param partId the part
 * @param crashes the number of engine crashes that are attributed to it
 * @param remainingMillis the time until prompts with the part are accepted again, in milliseconds
 */
public record Quarantine(String partId, int crashes, long remainingMillis) {}
