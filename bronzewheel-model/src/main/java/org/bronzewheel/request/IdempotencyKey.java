package org.bronzewheel.request;

import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * A key that identifies repeated sends of the same request; unique within a workspace.
 *
 * @param workspace the workspace of the caller
 * @param text the key as the caller sent it, 1 to 128 printable ASCII characters
 */
public record IdempotencyKey(String workspace, String text) {
    /** The maximum length of a key, in characters. */
    public static final int MAX_LENGTH_CHARS = 128;

    private static final Pattern UUID_V7 =
            Pattern.compile(
                    "[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");

    /**
     * Returns whether a text is a valid key.
     *
     * @param text what the caller sent
     * @return true for 1 to 128 printable ASCII characters
     */
    public static boolean isValid(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_LENGTH_CHARS
                && text.chars().allMatch(c -> c > ' ' && c < 0x7f);
    }

    /**
     * Returns the creation time of the key if it is a version 7 UUID (RFC 9562, section 5.7).
     *
     * @return the time in milliseconds since the epoch, by the caller's clock, or empty
     */
    public OptionalLong createdAtEpochMillis() {
        if (!UUID_V7.matcher(text).matches()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Long.parseLong(text.substring(0, 8) + text.substring(9, 13), 16));
    }

    /**
     * Returns whether the key contains a creation time that exceeds an age.
     *
     * @param ageMillis the age in milliseconds
     * @param epochMillis the current time in milliseconds since the epoch
     * @return true if the key is older; false if it is not or contains no time
     */
    public boolean isOlderThan(long ageMillis, long epochMillis) {
        OptionalLong created = createdAtEpochMillis();
        return created.isPresent() && epochMillis - created.getAsLong() > ageMillis;
    }
}
