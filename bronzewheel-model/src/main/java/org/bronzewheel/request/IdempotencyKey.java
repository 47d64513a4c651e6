package org.bronzewheel.request;

import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * The key by which a caller marks repeated sends of one request; it is unique within a workspace.
 *
 * @param workspace the workspace of the caller
 * @param text the key as the caller sent it, 1 to 128 printable ASCII characters
 */
public record IdempotencyKey(String workspace, String text) {
    /** The longest key in characters. */
    public static final int MAX_LENGTH_CHARS = 128;

    private static final Pattern UUID_V7 =
            Pattern.compile(
                    "[0-9a-fA-F]{8}-[0-9a-fA-F]{4}-7[0-9a-fA-F]{3}-[89abAB][0-9a-fA-F]{3}-[0-9a-fA-F]{12}");

    /**
     * Tells whether a text can be a key.
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
     * Returns when the caller made the key, where the key is a UUID of version 7 (RFC 9562, section
     * 5.7).
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
     * Tells whether the key carries a time that is older than an age.
     *
     * @param ageMillis the age in milliseconds
     * @param epochMillis the present time in milliseconds since the epoch
     * @return true for an older key, false for a younger one and for one without a time
     */
    public boolean isOlderThan(long ageMillis, long epochMillis) {
        OptionalLong created = createdAtEpochMillis();
        return created.isPresent() && epochMillis - created.getAsLong() > ageMillis;
    }
}
