package org.bronzewheel.cost;

import static com.google.common.truth.Truth.assertThat;

import org.bronzewheel.request.Usage;
import org.junit.jupiter.api.Test;

class CostTotalsTest {
    @Test
    void costsAreListedByStageAndKind() {
        CostTotals totals = new CostTotals();
        totals.add("p", "generate", "w", CostKind.PRIMARY, new Usage(10, 20, 30));
        totals.add("p", "generate", "w", CostKind.PRIMARY, new Usage(1, 2, 3));
        totals.add("p", "generate", "w", CostKind.HEDGE, new Usage(0, 5, 6));
        totals.add("p", "encode", "w", CostKind.LATE, new Usage(0, 0, 7));
        assertThat(totals.entries())
                .containsExactly(
                        new CostEntry("p", "encode", "w", CostKind.LATE, new Usage(0, 0, 7), 1),
                        new CostEntry(
                                "p", "generate", "w", CostKind.PRIMARY, new Usage(11, 22, 33), 2),
                        new CostEntry("p", "generate", "w", CostKind.HEDGE, new Usage(0, 5, 6), 1))
                .inOrder();
        assertThat(totals.total(CostKind.RETRY)).isEqualTo(Usage.NONE);
        assertThat(totals.total(CostKind.LATE)).isEqualTo(new Usage(0, 0, 7));
    }
}
