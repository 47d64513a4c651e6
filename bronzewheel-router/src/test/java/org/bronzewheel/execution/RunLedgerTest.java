package org.bronzewheel.execution;

import static com.google.common.truth.Truth.assertThat;

import org.bronzewheel.request.Outcome;
import org.junit.jupiter.api.Test;

class RunLedgerTest {
    private final RunLedger ledger = new RunLedger();

    @Test
    void nothingMayBeSentOnceTheOutcomeIsDecided() {
        assertThat(ledger.outcomeWithoutAnswer()).isEqualTo(Outcome.NOT_RUN);
        assertThat(ledger.trySend()).isFalse();
        assertThat(ledger.outcomeWithoutAnswer()).isEqualTo(Outcome.NOT_RUN);
    }

    @Test
    void anOpenAttemptMakesTheOutcomeUnknown() {
        assertThat(ledger.trySend()).isTrue();
        assertThat(ledger.outcomeWithoutAnswer()).isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void aStageThatWasAnsweredMakesARequestWithoutAnswerFailed() {
        assertThat(ledger.trySend()).isTrue();
        ledger.ended(Outcome.ANSWERED);
        ledger.stageAnswered();
        assertThat(ledger.outcomeWithoutAnswer()).isEqualTo(Outcome.FAILED);
    }
}
