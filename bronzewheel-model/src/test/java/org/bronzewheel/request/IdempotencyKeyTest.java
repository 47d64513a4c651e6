package org.bronzewheel.request;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class IdempotencyKeyTest {
    @Test
    void version7UuidContainsItsCreationTime() {
        // Example from RFC 9562, appendix A.6.
        IdempotencyKey key = new IdempotencyKey("gifts", "017F22E2-79B0-7CC3-98C4-DC0C0C07398F");

        assertThat(key.createdAtEpochMillis()).hasValue(1_645_557_742_000L);
    }

    @ParameterizedTest
    @CsvSource({
        "order-17",
        "017F22E2-79B0-4CC3-98C4-DC0C0C07398F",
        "017F22E2-79B0-7CC3-18C4-DC0C0C07398F"
    })
    void otherKeysContainNoCreationTime(String text) {
        assertThat(new IdempotencyKey("gifts", text).createdAtEpochMillis()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"a, true", "'', false", "'a b', false", "'a\tb', false", "'ä', false"})
    void onlyPrintableAsciiIsValid(String text, boolean valid) {
        assertThat(IdempotencyKey.isValid(text)).isEqualTo(valid);
    }

    @Test
    void keyLongerThanTheMaximumIsInvalid() {
        assertThat(IdempotencyKey.isValid("x".repeat(IdempotencyKey.MAX_LENGTH_CHARS))).isTrue();
        assertThat(IdempotencyKey.isValid("x".repeat(IdempotencyKey.MAX_LENGTH_CHARS + 1)))
                .isFalse();
    }
}
