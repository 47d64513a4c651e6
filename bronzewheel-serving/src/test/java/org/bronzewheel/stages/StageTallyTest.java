package org.bronzewheel.stages;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class StageTallyTest {
    @Test
    void countsAreToldOnceAndThenBeginAnew() {
        StageTally tally = new StageTally();
        tally.count(StageTally.Event.TAKEN, 8);
        tally.count(StageTally.Event.TAKEN, 4);
        tally.count(StageTally.Event.INPUT_GONE, 1);
        assertThat(tally.take()).isEqualTo("taken=12 input_gone=1");
        assertThat(tally.take()).isEmpty();
    }

    @Test
    void piecesOfARankCountInTheWholeAndInTheTallyOfTheRank() {
        StageTally tally = new StageTally();
        tally.count(StageTally.Event.TAKEN, 2, 3);
        tally.count(StageTally.Event.TAKEN, 0, 4);
        assertThat(tally.ranks()).containsExactly(0, 2).inOrder();
        assertThat(tally.ofRank(2).take()).isEqualTo("taken=3");
        assertThat(tally.take()).isEqualTo("taken=7");
    }
}
