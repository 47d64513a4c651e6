package org.bronzewheel.upstreams;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * What one life of an upstream has said of itself: its limit, that it leaves, and its pause.
 *
 * <p>That it leaves and its pause bind this router only where the upstream said so to this router.
 * What another router heard of its leaving is a hint, which a good answer disproves.
 */
final class AnnouncementState {
    /**
     * The longest time for which one answer takes an upstream out, in milliseconds. A longer pause
     * goes on after it, with one request in each such time to find out.
     */
    static final long MOST_PAUSE_MILLIS = 60_000;

    /** The time for which another router's word of leaving counts, in milliseconds. */
    static final long HINT_MILLIS = 30_000;

    private static final long LIMIT_TOLD_MILLIS = 10_000;

    /** Half of the time of limits, as many upstreams may leave at a time. */
    private static final long LEAVING_TOLD_MILLIS = 5_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final String id;
    private final long startedMillis;
    private Optional<LimitStatement> limit = Optional.empty();
    private long leavingHeardMillis = NEVER;
    private long leavingToldMillis = NEVER;
    private long disprovedMillis = NEVER;
    private long pauseHeardMillis = NEVER;
    private long pauseEndMillis = NEVER;
    private long closedUntilMillis = NEVER;
    private long lastHeardMillis = NEVER;

    AnnouncementState(String id, long startedMillis) {
        this.id = id;
        this.startedMillis = startedMillis;
    }

    String id() {
        return id;
    }

    long startedMillis() {
        return startedMillis;
    }

    Optional<LimitStatement> limit() {
        return limit;
    }

    OptionalDouble perSecond() {
        return limit.map(LimitStatement::perSecond).orElse(OptionalDouble.empty());
    }

    void setLimit(LimitStatement newer) {
        limit = Optional.of(newer);
        lastHeardMillis = Math.max(lastHeardMillis, newer.heardMillis());
    }

    /** Books that the upstream said to this router that it leaves. */
    void leave(long nowMillis) {
        leavingHeardMillis = nowMillis;
        lastHeardMillis = Math.max(lastHeardMillis, nowMillis);
    }

    boolean isLeaving() {
        return leavingHeardMillis > NEVER;
    }

    /** Returns when the upstream said that it leaves, to this router or to another one. */
    OptionalLong leavingHeardMillis() {
        long heardMillis = Math.max(leavingHeardMillis, leavingToldMillis);
        return heardMillis > NEVER ? OptionalLong.of(heardMillis) : OptionalLong.empty();
    }

    /** Books that another router heard that the upstream leaves. */
    void hintLeaving(long heardMillis) {
        if (heardMillis > disprovedMillis) {
            leavingToldMillis = Math.max(leavingToldMillis, heardMillis);
            lastHeardMillis = Math.max(lastHeardMillis, heardMillis);
        }
    }

    boolean isHintedToLeave(long nowMillis) {
        return nowMillis - leavingToldMillis < HINT_MILLIS;
    }

    /**
     * Books that the upstream wants no requests of this router for a while; the longest end counts.
     */
    void pause(long pauseMillis, long nowMillis) {
        pauseHeardMillis = nowMillis;
        lastHeardMillis = Math.max(lastHeardMillis, nowMillis);
        pauseEndMillis = Math.max(pauseEndMillis, nowMillis + pauseMillis);
        closedUntilMillis =
                Math.max(closedUntilMillis, nowMillis + Math.min(pauseMillis, MOST_PAUSE_MILLIS));
    }

    /** Returns the time for which the upstream gets nothing from this router, in milliseconds. */
    long blockedMillis(long nowMillis) {
        return Math.max(0, closedUntilMillis - nowMillis);
    }

    /** Returns the rest of the pause that the upstream asked for, in milliseconds. */
    long pauseLeftMillis(long nowMillis) {
        return Math.max(0, pauseEndMillis - nowMillis);
    }

    /** Books a request; within a pause that is longer than the bound no other follows it. */
    void requestSent(long nowMillis) {
        if (nowMillis < pauseEndMillis) {
            closedUntilMillis = Math.min(pauseEndMillis, nowMillis + MOST_PAUSE_MILLIS);
        }
    }

    /** Books a good answer, which disproves what was heard before its request was sent. */
    void answeredWell(long sentMillis) {
        disprovedMillis = Math.max(disprovedMillis, sentMillis);
        if (sentMillis > leavingToldMillis) {
            leavingToldMillis = NEVER;
        }
        if (sentMillis > pauseHeardMillis) {
            pauseEndMillis = NEVER;
            closedUntilMillis = NEVER;
        }
    }

    /** Tells whether this router knows anything that it would not know without an announcement. */
    boolean isBlank() {
        return lastHeardMillis == NEVER;
    }

    /** Returns when the newest statement was heard, here or elsewhere. */
    long lastHeardMillis() {
        return lastHeardMillis;
    }

    /** Returns until when other routers are told of the newest statement. */
    long toldUntilMillis() {
        long limitMillis = limit.map(LimitStatement::heardMillis).orElse(NEVER);
        return Math.max(
                limitMillis + LIMIT_TOLD_MILLIS,
                leavingHeardMillis().orElse(NEVER) + LEAVING_TOLD_MILLIS);
    }

    String describe(long nowMillis) {
        return "limitPerSecond=%s leaving=%s hintedToLeave=%s pausedMillis=%d"
                .formatted(
                        Announcements.describe(perSecond()),
                        isLeaving(),
                        isHintedToLeave(nowMillis),
                        pauseLeftMillis(nowMillis));
    }
}
