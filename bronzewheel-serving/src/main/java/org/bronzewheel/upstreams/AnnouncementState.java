package org.bronzewheel.upstreams;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * The announcements of one process lifetime of an upstream: limit, leaving, pause, and load.
 *
 * <p>Leaving and pauses are binding only if the upstream announced them to this router. Leaving
 * that another router reports is a hint, which a good answer clears.
 */
final class AnnouncementState {
    /**
     * The longest time for which one answer blocks an upstream, in milliseconds. During the rest of
     * a longer pause, one request is sent per such interval to probe the upstream.
     */
    static final long MAX_BLOCK_MILLIS = 60_000;

    /** The time for which another router's report of leaving is used, in milliseconds. */
    static final long HINT_LIFETIME_MILLIS = 30_000;

    private static final long LIMIT_SHARE_MILLIS = 10_000;

    /** Half of the time for limits, as many upstreams may leave at the same time. */
    private static final long LEAVING_SHARE_MILLIS = 5_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final String id;
    private final long startedMillis;
    private final LoadReports loadReports = new LoadReports();
    private Optional<LimitStatement> limit = Optional.empty();
    private long leavingHeardMillis = NEVER;
    private long peerLeavingMillis = NEVER;
    private long goodAnswerSentMillis = NEVER;
    private long pauseHeardMillis = NEVER;
    private long pauseEndMillis = NEVER;
    private long blockedUntilMillis = NEVER;
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

    LoadReports loadReports() {
        return loadReports;
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

    /** Records that the upstream announced to this router that it is leaving. */
    void leave(long nowMillis) {
        leavingHeardMillis = nowMillis;
        lastHeardMillis = Math.max(lastHeardMillis, nowMillis);
    }

    boolean isLeaving() {
        return leavingHeardMillis > NEVER;
    }

    /** Returns when the upstream announced to this or another router that it is leaving. */
    OptionalLong leavingHeardMillis() {
        long heardMillis = Math.max(leavingHeardMillis, peerLeavingMillis);
        return heardMillis > NEVER ? OptionalLong.of(heardMillis) : OptionalLong.empty();
    }

    /** Records that another router reports the upstream as leaving. */
    void recordPeerLeaving(long heardMillis) {
        if (heardMillis > goodAnswerSentMillis) {
            peerLeavingMillis = Math.max(peerLeavingMillis, heardMillis);
            lastHeardMillis = Math.max(lastHeardMillis, heardMillis);
        }
    }

    boolean isHintedToLeave(long nowMillis) {
        return nowMillis - peerLeavingMillis < HINT_LIFETIME_MILLIS;
    }

    /**
     * Records that the upstream asks this router for a pause; of several, the latest end applies.
     */
    void pause(long pauseMillis, long nowMillis) {
        pauseHeardMillis = nowMillis;
        lastHeardMillis = Math.max(lastHeardMillis, nowMillis);
        pauseEndMillis = Math.max(pauseEndMillis, nowMillis + pauseMillis);
        blockedUntilMillis =
                Math.max(blockedUntilMillis, nowMillis + Math.min(pauseMillis, MAX_BLOCK_MILLIS));
    }

    /** Returns the time for which sends from this router are blocked, in milliseconds. */
    long blockedMillis(long nowMillis) {
        return Math.max(0, blockedUntilMillis - nowMillis);
    }

    /** Returns the remaining time of the requested pause, in milliseconds. */
    long pauseRemainingMillis(long nowMillis) {
        return Math.max(0, pauseEndMillis - nowMillis);
    }

    /**
     * Records a request. If a longer pause is not over, further requests are blocked for the next
     * interval.
     */
    void requestSent(long nowMillis) {
        if (nowMillis < pauseEndMillis) {
            blockedUntilMillis = Math.min(pauseEndMillis, nowMillis + MAX_BLOCK_MILLIS);
        }
    }

    /**
     * Records a good answer, which clears hints and pauses received before its request was sent.
     */
    void recordGoodAnswer(long sentMillis) {
        goodAnswerSentMillis = Math.max(goodAnswerSentMillis, sentMillis);
        if (sentMillis > peerLeavingMillis) {
            peerLeavingMillis = NEVER;
        }
        if (sentMillis > pauseHeardMillis) {
            pauseEndMillis = NEVER;
            blockedUntilMillis = NEVER;
        }
    }

    /** Returns whether no statement was received. */
    boolean isEmpty() {
        return lastHeardMillis == NEVER;
    }

    /** Returns when this or another router received the newest statement. */
    long lastHeardMillis() {
        return lastHeardMillis;
    }

    /** Returns until when the newest statement is sent to other routers. */
    long shareUntilMillis() {
        long limitMillis = limit.map(LimitStatement::heardMillis).orElse(NEVER);
        return Math.max(
                limitMillis + LIMIT_SHARE_MILLIS,
                leavingHeardMillis().orElse(NEVER) + LEAVING_SHARE_MILLIS);
    }

    String describe(long nowMillis) {
        return "limitPerSecond=%s leaving=%s hintedToLeave=%s pausedMillis=%d"
                .formatted(
                        Announcements.describe(perSecond()),
                        isLeaving(),
                        isHintedToLeave(nowMillis),
                        pauseRemainingMillis(nowMillis));
    }
}
