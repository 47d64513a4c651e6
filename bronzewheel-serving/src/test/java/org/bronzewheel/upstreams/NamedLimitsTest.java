package org.bronzewheel.upstreams;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

class NamedLimitsTest {
    private final NamedLimits limits = new NamedLimits();

    private OptionalDouble known() {
        return limits.perSecond("u");
    }

    @Test
    void aLimitHoldsUntilALaterAnswerNamesNone() {
        limits.answered("u", NamedLimit.of(2), 0, 100);
        assertThat(known()).isEqualTo(OptionalDouble.of(2));
        limits.answered("u", NamedLimit.NONE, 100, 200);
        assertThat(known()).isEqualTo(OptionalDouble.empty());
        assertThat(limits.size()).isEqualTo(0);
    }

    @Test
    void anAnswerToARequestFromBeforeTheLimitNeitherEndsNorRaisesIt() {
        limits.answered("u", NamedLimit.of(2), 0, 100);
        limits.answered("u", NamedLimit.NONE, 99, 200);
        limits.answered("u", NamedLimit.of(5), 99, 200);
        assertThat(known()).isEqualTo(OptionalDouble.of(2));
        limits.answered("u", NamedLimit.of(1), 99, 200);
        assertThat(known()).isEqualTo(OptionalDouble.of(1));
    }

    @Test
    void anUnreadableLimitChangesNothing() {
        limits.answered("u", NamedLimit.of(2), 0, 100);
        limits.answered("u", NamedLimit.UNREADABLE, 150, 200);
        assertThat(known()).isEqualTo(OptionalDouble.of(2));
    }

    @Test
    void whatAnotherRouterHeardCountsWhereItIsNewer() {
        limits.learned("u", new LimitStatement(OptionalDouble.of(3), 50));
        assertThat(known()).isEqualTo(OptionalDouble.of(3));
        limits.answered("u", NamedLimit.NONE, 60, 100);
        limits.learned("u", new LimitStatement(OptionalDouble.of(3), 90));
        assertThat(known()).isEqualTo(OptionalDouble.empty());
        limits.learned("u", new LimitStatement(OptionalDouble.of(3), 101));
        assertThat(known()).isEqualTo(OptionalDouble.of(3));
    }
}
