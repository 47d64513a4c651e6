package org.bronzewheel.standin;

/**
 * The fault switches of the platform stand-in.
 *
 * @param down whether connections break instead of being answered
 * @param stale whether it goes on serving the revisions that it served when this was switched on
 * @param delayMillis time added to each read, in milliseconds
 */
public record PlatformFaults(boolean down, boolean stale, long delayMillis) {
    /** No faults. */
    public static final PlatformFaults NONE = new PlatformFaults(false, false, 0);
}
