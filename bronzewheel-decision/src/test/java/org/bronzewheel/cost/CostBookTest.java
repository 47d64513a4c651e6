package org.bronzewheel.cost;

import static com.google.common.truth.Truth.assertThat;

import org.bronzewheel.request.Usage;
import org.junit.jupiter.api.Test;

class CostBookTest {
    @Test
    void hedgesRetriesAndLateWorkAreListedApart() {
        CostBook book = new CostBook();
        book.book("p", "generate", "w", CostKind.PRIMARY, new Usage(10, 20, 30));
        book.book("p", "generate", "w", CostKind.PRIMARY, new Usage(1, 2, 3));
        book.book("p", "generate", "w", CostKind.HEDGE, new Usage(0, 5, 6));
        book.book("p", "encode", "w", CostKind.LATE, new Usage(0, 0, 7));
        assertThat(book.entries())
                .containsExactly(
                        new CostEntry("p", "encode", "w", CostKind.LATE, new Usage(0, 0, 7), 1),
                        new CostEntry(
                                "p", "generate", "w", CostKind.PRIMARY, new Usage(11, 22, 33), 2),
                        new CostEntry("p", "generate", "w", CostKind.HEDGE, new Usage(0, 5, 6), 1))
                .inOrder();
        assertThat(book.total(CostKind.RETRY)).isEqualTo(Usage.NONE);
        assertThat(book.total(CostKind.LATE)).isEqualTo(new Usage(0, 0, 7));
    }
}
