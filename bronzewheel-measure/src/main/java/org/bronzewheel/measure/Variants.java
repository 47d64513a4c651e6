package org.bronzewheel.measure;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import org.bronzewheel.budget.ObservedStageBudgets;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.policy.ChoiceRule;
import org.bronzewheel.policy.PolicySettings;
import org.bronzewheel.routing.ChoiceContext;
import org.bronzewheel.routing.RoutingSettings;
import org.bronzewheel.routing.WorkerTable;
import org.bronzewheel.rules.RequestClass;

/** The policies with one mechanism replaced or switched off. */
final class Variants {
    private static final double UNBOUNDED = 1e9;
    private static final long ONE_NANO = 1;

    private Variants() {}

    static Variant full() {
        return new Variant(
                "full",
                PolicySettings.defaults(),
                ObservedStageBudgets::new,
                () -> WorkerTable::choose,
                UnaryOperator.identity(),
                true,
                true);
    }

    static List<Variant> baselines() {
        return List.of(
                withRule("round-robin", Variants::roundRobin),
                withRule("least-own", () -> Variants::leastOwn),
                noAdmission(),
                fixedBudgets(),
                withClasses("no-hedging", Variants::withoutExtraCost));
    }

    static List<Variant> ablations() {
        PolicySettings usual = PolicySettings.defaults();
        RoutingSettings routing = usual.routing();
        return List.of(
                withSettings("no-ejection", usual.withRouting(routing.withMaxEjectedPercent(0))),
                withSettings("no-slow-start", usual.withRouting(routing.withSlowStart(ONE_NANO))),
                withSettings("no-retries", usual.withMaxAttempts(1)),
                withSettings(
                        "no-first-headroom", usual.withFirstPriorityHeadroom(usual.headroom())),
                withSettings("no-locality", usual.withRouting(routing.withLocalityBonus(0))),
                withClasses("no-floor", Variants::withoutFloor),
                withClasses("no-priority", Variants::withoutPriority),
                withInputs("no-reports", false, true),
                withInputs("no-affinity", true, false));
    }

    private static Variant withSettings(String name, PolicySettings settings) {
        Variant full = full();
        return new Variant(name, settings, full.budgets(), full.rule(), full.classes(), true, true);
    }

    private static Variant withClasses(String name, UnaryOperator<RequestClass> classes) {
        Variant full = full();
        return new Variant(name, full.settings(), full.budgets(), full.rule(), classes, true, true);
    }

    private static Variant withInputs(String name, boolean reports, boolean prefixes) {
        Variant full = full();
        return new Variant(
                name,
                full.settings(),
                full.budgets(),
                full.rule(),
                full.classes(),
                reports,
                prefixes);
    }

    private static Variant withRule(String name, Supplier<ChoiceRule> rule) {
        Variant full = full();
        return new Variant(name, full.settings(), full.budgets(), rule, full.classes(), true, true);
    }

    private static Variant noAdmission() {
        PolicySettings open =
                PolicySettings.defaults()
                        .withRefusesInfeasible(false)
                        .withHeadroom(UNBOUNDED)
                        .withFirstPriorityHeadroom(UNBOUNDED);
        return withSettings("no-admission", open);
    }

    private static Variant fixedBudgets() {
        Variant full = full();
        return new Variant(
                "fixed-budgets",
                full.settings(),
                FixedStageBudgets::new,
                full.rule(),
                full.classes(),
                true,
                true);
    }

    private static ChoiceRule roundRobin() {
        Map<WorkerTable, Integer> next = new HashMap<>();
        return (workers, context, now, random) -> {
            List<Upstream> members = sorted(workers);
            for (int i = 0; i < members.size(); i++) {
                int turn = next.merge(workers, 1, Integer::sum);
                Upstream candidate = members.get(turn % members.size());
                if (workers.hasRoom(candidate.name(), context, now)) {
                    return Optional.of(candidate);
                }
            }
            return Optional.empty();
        };
    }

    private static Optional<Upstream> leastOwn(
            WorkerTable workers, ChoiceContext context, long now, RandomGenerator random) {
        return sorted(workers).stream()
                .filter(u -> workers.hasRoom(u.name(), context, now))
                .map(u -> Map.entry(workers.ownInFlight(u.name()) + random.nextDouble(), u))
                .min(Map.Entry.comparingByKey())
                .map(Map.Entry::getValue);
    }

    private static List<Upstream> sorted(WorkerTable workers) {
        return workers.members().stream().sorted(Comparator.comparing(Upstream::name)).toList();
    }

    private static RequestClass withoutExtraCost(RequestClass c) {
        return new RequestClass(c.name(), c.priority(), c.deadlineMillis(), c.floorPercent(), 0);
    }

    private static RequestClass withoutFloor(RequestClass c) {
        return new RequestClass(
                c.name(), c.priority(), c.deadlineMillis(), 0, c.extraCostPercent());
    }

    private static RequestClass withoutPriority(RequestClass c) {
        return new RequestClass(
                c.name(), 0, c.deadlineMillis(), c.floorPercent(), c.extraCostPercent());
    }
}
