package org.bronzewheel.claim;

import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;

/**
 * Timeouts and limits of the claim protocol. All routers of a fleet must use the same values.
 *
 * @param retentionMillis how long a vote is remembered, and the maximum age of a key that contains
 *     its creation time, in milliseconds
 * @param opaqueKeyAgeMillis how long ago a key without a creation time may have been used first, in
 *     milliseconds, at most the retention; voters that started after that do not vote on such keys
 * @param grantMillis how long a grant is valid from the start of its claim, in milliseconds
 * @param evidenceMillis the maximum age of evidence about the lists in use, in milliseconds; peers
 *     are pinged four times in that period
 * @param maxClockSkewMillis the largest difference between the wall clocks of two routers, in
 *     milliseconds
 * @param claimMillis the timeout for votes, in milliseconds
 * @param resendMillis the time after which a vote is requested again, in milliseconds
 * @param yieldMillis the time after which an undecided claim yields to an earlier one, in
 *     milliseconds
 * @param maxVotes the largest number of remembered votes
 */
public record ClaimSettings(
        long retentionMillis,
        long opaqueKeyAgeMillis,
        long grantMillis,
        long evidenceMillis,
        long maxClockSkewMillis,
        long claimMillis,
        long resendMillis,
        long yieldMillis,
        int maxVotes) {
    /** Default settings, for a fleet of a few routers. */
    public static final ClaimSettings DEFAULT =
            new ClaimSettings(600_000, 600_000, 60_000, 2_000, 500, 1_000, 100, 60, 200_000);

    /**
     * Returns these settings with another age of keys without a creation time.
     *
     * @param millis the age in milliseconds
     * @return changed settings
     */
    public ClaimSettings withOpaqueKeyAgeMillis(long millis) {
        return new ClaimSettings(
                retentionMillis,
                millis,
                grantMillis,
                evidenceMillis,
                maxClockSkewMillis,
                claimMillis,
                resendMillis,
                yieldMillis,
                maxVotes);
    }

    /**
     * Returns these settings with another age of evidence.
     *
     * @param millis the age in milliseconds
     * @return changed settings
     */
    public ClaimSettings withEvidenceMillis(long millis) {
        return new ClaimSettings(
                retentionMillis,
                opaqueKeyAgeMillis,
                grantMillis,
                millis,
                maxClockSkewMillis,
                claimMillis,
                resendMillis,
                yieldMillis,
                maxVotes);
    }

    /**
     * Returns these settings with another clock skew.
     *
     * @param millis the skew in milliseconds
     * @return changed settings
     */
    public ClaimSettings withMaxClockSkewMillis(long millis) {
        return new ClaimSettings(
                retentionMillis,
                opaqueKeyAgeMillis,
                grantMillis,
                evidenceMillis,
                millis,
                claimMillis,
                resendMillis,
                yieldMillis,
                maxVotes);
    }

    /**
     * Returns how long after its start a router does not take part in claims of new keys.
     *
     * @return the time in milliseconds
     */
    public long warmUpMillis() {
        return evidenceMillis + maxClockSkewMillis;
    }

    /**
     * Checks the relations between the times.
     *
     * @throws BronzewheelException with INVALID_SETTING if a relation is violated
     */
    void check() {
        require(evidenceMillis > 0, "evidenceMillis must be above 0");
        require(maxClockSkewMillis >= 0, "maxClockSkewMillis must not be negative");
        require(opaqueKeyAgeMillis <= retentionMillis, "opaqueKeyAgeMillis exceeds the retention");
        require(
                grantMillis + claimMillis + evidenceMillis + 2 * maxClockSkewMillis
                        < retentionMillis,
                "the retention must exceed grant, claim, evidence and twice the clock skew");
    }

    private static void require(boolean holds, String message) {
        if (!holds) {
            throw new BronzewheelException(ErrorCode.INVALID_SETTING, message);
        }
    }
}
