package org.bronzewheel.upstreams;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.bronzewheel.wire.UpstreamStatement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AnnouncementCodecTest {
    private static UpstreamStatement.Builder message() {
        return UpstreamStatement.newBuilder().setUpstreamId("u");
    }

    @Test
    void aDecodedStatementKeepsItsAge() {
        PeerStatement statement =
                new PeerStatement(
                        "u",
                        7,
                        Optional.of(new LimitStatement(OptionalDouble.of(2), 100)),
                        OptionalLong.of(150));
        UpstreamStatement sent = AnnouncementCodec.encode(statement, 200);
        assertThat(AnnouncementCodec.decode(sent, 1_200))
                .hasValue(
                        new PeerStatement(
                                "u",
                                7,
                                Optional.of(new LimitStatement(OptionalDouble.of(2), 1_100)),
                                OptionalLong.of(1_150)));
    }

    // Values out of range from other routers used to be stored and passed on.
    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY, 1e300})
    void aLimitOutsideTheValidRangeIsRejected(double perSecond) {
        assertThat(
                        AnnouncementCodec.decode(
                                message().setPerSecond(perSecond).setLimitAgeMillis(1).build(), 0))
                .isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {-1, Long.MIN_VALUE, Long.MAX_VALUE})
    void anAgeOutsideTheValidRangeIsRejected(long ageMillis) {
        assertThat(AnnouncementCodec.decode(message().setLimitAgeMillis(ageMillis).build(), 0))
                .isEmpty();
        assertThat(AnnouncementCodec.decode(message().setLeavingAgeMillis(ageMillis).build(), 0))
                .isEmpty();
    }

    @Test
    void anEmptyOrOverlongUpstreamIdIsRejected() {
        assertThat(AnnouncementCodec.decode(UpstreamStatement.getDefaultInstance(), 0)).isEmpty();
        assertThat(AnnouncementCodec.decode(message().setUpstreamId("u".repeat(201)).build(), 0))
                .isEmpty();
    }
}
