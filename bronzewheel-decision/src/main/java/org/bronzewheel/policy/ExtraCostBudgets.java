package org.bronzewheel.policy;

import java.util.HashMap;
import java.util.Map;
import org.bronzewheel.hedging.ExtraCostBudget;
import org.bronzewheel.rules.RequestClass;

/** The extra cost budgets of all request classes, shared by the pools of a router. */
final class ExtraCostBudgets {
    private final Map<RequestClass, ExtraCostBudget> budgets = new HashMap<>();
    private final double maxBalance;

    ExtraCostBudgets(double maxBalance) {
        this.maxBalance = maxBalance;
    }

    ExtraCostBudget of(RequestClass requestClass) {
        return budgets.computeIfAbsent(
                requestClass, c -> new ExtraCostBudget(c.extraCostPercent(), maxBalance));
    }
}
