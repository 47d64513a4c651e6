package org.bronzewheel.hedging;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.routing.OpenCall;
import org.junit.jupiter.api.Test;

class ExtraCostBudgetTest {
    private static final Upstream WORKER = new Upstream("w", "v", "127.0.0.1:1", "d");

    @Test
    void budgetOfZeroPercentAllowsNoExtraCost() {
        ExtraCostBudget budget = new ExtraCostBudget(0, 1_000);
        budget.deposit(1e12);
        assertThat(budget.tryWithdraw(1)).isFalse();
    }

    @Property(seed = "1", tries = 200)
    void extraCostNeverExceedsItsPercentageAndTheInitialBalance(
            @ForAll @IntRange(min = 0, max = 20) int percent,
            @ForAll @Size(min = 1, max = 200) List<@IntRange(min = -50, max = 50) Integer> calls) {
        double maxBalance = 100;
        ExtraCostBudget budget = new ExtraCostBudget(percent, maxBalance);
        double regular = 0;
        double extra = 0;
        for (int call : calls) {
            if (call >= 0) {
                budget.deposit(call);
                regular += call;
            } else if (budget.tryWithdraw(-call)) {
                extra -= call;
            }
            assertThat(extra).isAtMost(regular * percent / 100 + maxBalance / 2 + 1e-9);
        }
    }

    @Test
    void cancelledHedgeRefundsUnspentCostOnce() {
        HedgedCalls hedgedCalls = new HedgedCalls();
        OpenCall first = new OpenCall(WORKER, 0, false);
        OpenCall second = new OpenCall(WORKER, 0, false);
        hedgedCalls.add(first, second, 10);
        hedgedCalls.remove(first);
        assertThat(hedgedCalls.removeCancelled(second, 4)).isEqualTo(6.0);
        assertThat(hedgedCalls.removeCancelled(second, 4)).isEqualTo(0.0);
        assertThat(hedgedCalls.removeCancelled(first, 0)).isEqualTo(0.0);
    }
}
