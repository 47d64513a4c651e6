package org.bronzewheel.measure;

import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.bronzewheel.budget.StageBudgets;
import org.bronzewheel.policy.ChoiceRule;
import org.bronzewheel.policy.PolicySettings;
import org.bronzewheel.rules.RequestClass;

/**
 * A set of policies under measurement.
 *
 * @param name the name
 * @param settings constants
 * @param budgets creates the split of deadlines of one router
 * @param rule creates the choice of workers of one router
 * @param classes changes the request classes as the policies see them
 * @param reports whether load reports reach the routers
 * @param prefixes whether cache events reach the routers
 */
record Variant(
        String name,
        PolicySettings settings,
        Supplier<StageBudgets> budgets,
        Supplier<ChoiceRule> rule,
        UnaryOperator<RequestClass> classes,
        boolean reports,
        boolean prefixes) {}
