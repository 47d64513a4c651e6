package org.bronzewheel.upstreams;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.wire.UpstreamStatement;

/**
 * Encodes and decodes upstream statements for other routers. Times are sent as ages, as routers do
 * not share a clock.
 */
public final class AnnouncementCodec {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_ID_CHARACTERS = 200;
    private static final double MAX_PER_SECOND = 1e9;
    private static final long MAX_AGE_MILLIS = TimeUnit.DAYS.toMillis(30);

    private AnnouncementCodec() {}

    /**
     * Encodes a statement.
     *
     * @param statement what the upstream announced
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the message
     */
    public static UpstreamStatement encode(PeerStatement statement, long nowMillis) {
        UpstreamStatement.Builder message =
                UpstreamStatement.newBuilder()
                        .setUpstreamId(statement.upstreamId())
                        .setStartedMillis(statement.startedMillis());
        statement
                .limit()
                .ifPresent(
                        limit -> {
                            message.setLimitAgeMillis(ageMillis(limit.heardMillis(), nowMillis));
                            limit.perSecond().ifPresent(message::setPerSecond);
                        });
        statement
                .leavingHeardMillis()
                .ifPresent(heard -> message.setLeavingAgeMillis(ageMillis(heard, nowMillis)));
        return message.build();
    }

    private static long ageMillis(long heardMillis, long nowMillis) {
        return Math.max(0, nowMillis - heardMillis);
    }

    /**
     * Decodes a statement.
     *
     * @param message the message
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return what the upstream announced, or empty if the message is empty or a value is out of
     *     range
     */
    public static Optional<PeerStatement> decode(UpstreamStatement message, long nowMillis) {
        if (message.getUpstreamId().isEmpty()) {
            return Optional.empty();
        }
        if (!isValid(message)) {
            logger.atWarning().log(
                    "ignoring an upstream statement of another router: a value is out of range");
            return Optional.empty();
        }
        Optional<LimitStatement> limit =
                message.hasLimitAgeMillis()
                        ? Optional.of(
                                new LimitStatement(
                                        message.hasPerSecond()
                                                ? OptionalDouble.of(message.getPerSecond())
                                                : OptionalDouble.empty(),
                                        nowMillis - message.getLimitAgeMillis()))
                        : Optional.empty();
        OptionalLong leaving =
                message.hasLeavingAgeMillis()
                        ? OptionalLong.of(nowMillis - message.getLeavingAgeMillis())
                        : OptionalLong.empty();
        return Optional.of(
                new PeerStatement(
                        message.getUpstreamId(), message.getStartedMillis(), limit, leaving));
    }

    private static boolean isValid(UpstreamStatement message) {
        return message.getUpstreamId().length() <= MAX_ID_CHARACTERS
                && message.getPerSecond() >= 0
                && message.getPerSecond() <= MAX_PER_SECOND
                && isValidAge(message.getLimitAgeMillis())
                && isValidAge(message.getLeavingAgeMillis());
    }

    private static boolean isValidAge(long millis) {
        return millis >= 0 && millis <= MAX_AGE_MILLIS;
    }
}
