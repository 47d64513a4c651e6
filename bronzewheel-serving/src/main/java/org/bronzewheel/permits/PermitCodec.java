package org.bronzewheel.permits;

import java.util.OptionalDouble;
import org.bronzewheel.upstreams.LimitStatement;
import org.bronzewheel.wire.UpstreamLimit;

/** The wire form of what upstreams said of their limits; moments travel as ages. */
public final class PermitCodec {
    private PermitCodec() {}

    /**
     * Encodes a statement.
     *
     * @param upstreamId the upstream
     * @param statement what it said
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the message
     */
    public static UpstreamLimit encode(
            String upstreamId, LimitStatement statement, long nowMillis) {
        UpstreamLimit.Builder message =
                UpstreamLimit.newBuilder()
                        .setUpstreamId(upstreamId)
                        .setAgeMillis(Math.max(0, nowMillis - statement.heardMillis()));
        statement.perSecond().ifPresent(message::setPerSecond);
        return message.build();
    }

    /**
     * Decodes a statement. One whose limit is no possible number is taken as an old one, which
     * changes nothing.
     *
     * @param message the message
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return what the upstream said
     */
    public static LimitStatement decode(UpstreamLimit message, long nowMillis) {
        double limit = message.getPerSecond();
        if (!Double.isFinite(limit) || limit < 0 || message.getAgeMillis() < 0) {
            return new LimitStatement(OptionalDouble.empty(), Long.MIN_VALUE);
        }
        return new LimitStatement(
                message.hasPerSecond() ? OptionalDouble.of(limit) : OptionalDouble.empty(),
                nowMillis - message.getAgeMillis());
    }
}
