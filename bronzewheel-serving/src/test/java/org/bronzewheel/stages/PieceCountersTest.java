package org.bronzewheel.stages;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class PieceCountersTest {
    @Test
    void formattingResetsTheCounters() {
        PieceCounters counters = new PieceCounters();
        counters.count(PieceCounters.Event.TAKEN, 8);
        counters.count(PieceCounters.Event.TAKEN, 4);
        counters.count(PieceCounters.Event.INPUT_GONE, 1);
        assertThat(counters.formatAndReset()).isEqualTo("taken=12 input_gone=1");
        assertThat(counters.formatAndReset()).isEmpty();
    }

    @Test
    void piecesOfARankCountInTheTotalAndForTheRank() {
        PieceCounters counters = new PieceCounters();
        counters.count(PieceCounters.Event.TAKEN, 2, 3);
        counters.count(PieceCounters.Event.TAKEN, 0, 4);
        assertThat(counters.ranks()).containsExactly(0, 2).inOrder();
        assertThat(counters.ofRank(2).formatAndReset()).isEqualTo("taken=3");
        assertThat(counters.formatAndReset()).isEqualTo("taken=7");
    }
}
