package org.bronzewheel.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.request.Outcome;
import org.junit.jupiter.api.Test;

class WorkerTableTest {
    private static final long SECOND = 1_000_000_000L;
    private static final RoutingSettings SETTINGS = RoutingSettings.defaults();
    private static final ChoiceContext PROBING = new ChoiceContext(Set.of(), "", 0, 0, 1);

    private final SplittableRandom random = new SplittableRandom(1);

    @Test
    void leavingWorkerGetsNoNewCalls() {
        WorkerTable table = table(3, 4, 1);
        table.setLeaving("worker-0", true);
        assertThat(countChoices(table, ChoiceContext.ANY, 100).keySet()).doesNotContain("worker-0");
        table.setLeaving("worker-0", false);
        assertThat(countChoices(table, ChoiceContext.ANY, 100).keySet()).contains("worker-0");
    }

    @Test
    void removedWorkerGetsNoNewCallsAndItsOpenCallMayEnd() {
        WorkerTable table = table(2, 4, 1);
        OpenCall open = table.onStart(upstream(0), 0);
        table.remove("worker-0");
        table.onEnd(open, Outcome.ANSWERED, 1, 1);
        assertThat(table.ownInFlight()).isEqualTo(0);
        assertThat(countChoices(table, ChoiceContext.ANY, 50).keySet()).containsExactly("worker-1");
    }

    @Test
    void excludedWorkerIsNotChosen() {
        WorkerTable table = table(2, 4, 1);
        ChoiceContext context =
                new ChoiceContext(Set.of("worker-0"), "", 0, ChoiceContext.NO_PROBE, 1);
        assertThat(countChoices(table, context, 50).keySet()).containsExactly("worker-1");
    }

    @Test
    void noWorkerIsChosenWhenAllAreFull() {
        WorkerTable table = table(2, 1, 1);
        table.onStart(upstream(0), 0);
        table.onStart(upstream(1), 0);
        assertThat(table.choose(ChoiceContext.ANY, 0, random)).isEmpty();
    }

    @Test
    void routerMayUseItsShareWhenOtherRoutersFillTheWorker() {
        WorkerTable table = table(1, 8, 8);
        table.onLoadReport(new LoadReport("worker-0", 8, 20, 1, 0));
        assertThat(table.choose(ChoiceContext.ANY, 0, random)).isPresent();
        table.onStart(upstream(0), 0);
        assertThat(table.choose(ChoiceContext.ANY, 0, random)).isEmpty();
    }

    @Test
    void outdatedReportIsIgnored() {
        WorkerTable table = table(2, 8, 1);
        table.onLoadReport(new LoadReport("worker-0", 5, 0, 7, 0));
        table.onLoadReport(new LoadReport("worker-0", 0, 0, 6, 0));
        assertThat(table.estimatedLoad("worker-0", 0)).isEqualTo(5.0);
    }

    @Test
    void ownCallsInAReportAreNotCountedTwice() {
        WorkerTable table = table(1, 8, 1);
        table.onStart(upstream(0), 10);
        table.onStart(upstream(0), 30);
        table.onLoadReport(new LoadReport("worker-0", 3, 0, 1, 20));
        assertThat(table.estimatedLoad("worker-0", 30)).isWithin(1e-6).of(4);
    }

    @Test
    void weightOfAReportDecreasesWithAge() {
        WorkerTable table = table(2, 8, 1);
        table.onLoadReport(new LoadReport("worker-0", 6, 0, 1, 0));
        long later = SETTINGS.reportHalfLifeNanos();
        assertThat(table.estimatedLoad("worker-0", later)).isWithin(1e-6).of(3);
    }

    @Test
    void workerWithLessLoadIsPreferred() {
        WorkerTable table = table(2, 8, 1);
        table.onLoadReport(new LoadReport("worker-0", 6, 0, 1, 0));
        table.onLoadReport(new LoadReport("worker-1", 1, 0, 1, 0));
        assertThat(countChoices(table, ChoiceContext.ANY, 50).keySet()).containsExactly("worker-1");
    }

    @Test
    void ownFailureDomainOnlyBreaksTies() {
        WorkerTable table = table(4, 8, 1);
        ChoiceContext local = new ChoiceContext(Set.of(), "domain-2", 0, ChoiceContext.NO_PROBE, 1);
        assertThat(countChoices(table, local, 50).keySet()).containsExactly("worker-2");
        table.onStart(upstream(2), 0);
        assertThat(countChoices(table, local, 50).keySet()).doesNotContain("worker-2");
    }

    @Test
    void cachedPrefixGivesABoundedBonus() {
        WorkerTable table = table(2, 8, 1);
        table.onPrefixStored("worker-0", 99);
        ChoiceContext prefix = new ChoiceContext(Set.of(), "", 99, ChoiceContext.NO_PROBE, 1);
        table.onStart(upstream(0), 0);
        assertThat(countChoices(table, prefix, 50).keySet()).containsExactly("worker-0");
        table.onStart(upstream(0), 0);
        table.onStart(upstream(0), 0);
        assertThat(countChoices(table, prefix, 50).keySet()).containsExactly("worker-1");
    }

    @Test
    void prefixOfALeavingWorkerIsIgnored() {
        WorkerTable table = table(2, 8, 1);
        table.onPrefixStored("worker-0", 99);
        table.setLeaving("worker-0", true);
        ChoiceContext prefix = new ChoiceContext(Set.of(), "", 99, ChoiceContext.NO_PROBE, 1);
        assertThat(countChoices(table, prefix, 50).keySet()).containsExactly("worker-1");
    }

    @Test
    void newWorkerBeginsWithASlowStart() {
        WorkerTable table = table(1, 8, 1);
        table.add(upstream(1), true, 0);
        table.onStart(upstream(1), 0);
        assertThat(table.hasRoom("worker-1", ChoiceContext.ANY, 0)).isFalse();
        assertThat(table.hasRoom("worker-1", ChoiceContext.ANY, SETTINGS.slowStartNanos()))
                .isTrue();
    }

    @Test
    void consecutiveBadCallsEjectAndASuccessfulProbeReinstates() {
        WorkerTable table = table(4, 8, 1);
        failUntilEjected(table, 0, 0);
        assertThat(table.ejectedCount()).isEqualTo(1);
        assertThat(countChoices(table, PROBING, 50).keySet()).doesNotContain("worker-0");

        long due = SETTINGS.ejectionNanos();
        assertThat(table.choose(ChoiceContext.ANY, due, random).orElseThrow().name())
                .isNotEqualTo("worker-0");
        Upstream probed = table.choose(PROBING, due, random).orElseThrow();
        assertThat(probed.name()).isEqualTo("worker-0");
        OpenCall probe = table.onStart(probed, due);
        assertWithMessage("one probe at a time")
                .that(table.choose(PROBING, due, random).orElseThrow().name())
                .isNotEqualTo("worker-0");
        table.onEnd(probe, Outcome.ANSWERED, 1, due);
        assertThat(table.ejectedCount()).isEqualTo(0);
    }

    @Test
    void failedProbeDoublesTheEjectionTime() {
        WorkerTable table = table(4, 8, 1);
        failUntilEjected(table, 0, 0);
        long due = SETTINGS.ejectionNanos();
        table.onEnd(table.onStart(upstream(0), due), Outcome.UNKNOWN, 0, due);
        long early = due + 2 * SETTINGS.ejectionNanos() - 1;
        assertThat(table.choose(PROBING, early, random).orElseThrow().name())
                .isNotEqualTo("worker-0");
        assertThat(table.choose(PROBING, early + 1, random).orElseThrow().name())
                .isEqualTo("worker-0");
    }

    @Test
    void overdueCallsEjectAHungWorker() {
        WorkerTable table = table(4, 8, 1);
        for (int i = 0; i < SETTINGS.ejectAfterBadCalls(); i++) {
            table.onOverdue(table.onStart(upstream(0), 0), SECOND);
        }
        assertThat(table.ejectedCount()).isEqualTo(1);
    }

    @Test
    void earlyCancelledCallDoesNotCountAgainstItsWorker() {
        WorkerTable table = table(4, 8, 1);
        for (int i = 0; i < 10; i++) {
            table.onCancelled(table.onStart(upstream(0), 0), 1, 1);
        }
        assertThat(table.ejectedCount()).isEqualTo(0);
    }

    @Property(seed = "1", tries = 200)
    void ejectedWorkersStayWithinTheMaximum(
            @ForAll @IntRange(min = 1, max = 40) int size, @ForAll long seed) {
        WorkerTable table = table(size, 4, 1);
        SplittableRandom seededRandom = new SplittableRandom(seed);
        for (int i = 0; i < 200; i++) {
            Upstream worker = upstream(seededRandom.nextInt(size));
            boolean good = seededRandom.nextInt(4) == 0;
            Outcome outcome = good ? Outcome.ANSWERED : Outcome.FAILED;
            long now = i * SECOND / 10;
            table.onEnd(table.onStart(worker, now), outcome, 1, now);
            assertThat(table.ejectedCount() * 100).isAtMost(size * SETTINGS.maxEjectedPercent());
            assertThat(table.activeCount() + table.ejectedCount()).isEqualTo(size);
        }
    }

    @Property(seed = "2", tries = 100)
    void subsetsCoverALargePoolEvenly(@ForAll @IntRange(min = 20, max = 300) int size) {
        int subsetCount = size / SETTINGS.subsetSize();
        Map<String, Integer> routersByWorker = new HashMap<>();
        for (int position = 0; position < 3 * subsetCount; position++) {
            WorkerTable table = table(size, 4, 1);
            table.setRouters(3 * subsetCount, position);
            table.members().forEach(u -> routersByWorker.merge(u.name(), 1, Integer::sum));
        }
        assertThat(routersByWorker).hasSize(size);
        assertThat(Set.copyOf(routersByWorker.values())).containsExactly(3);
    }

    private void failUntilEjected(WorkerTable table, int worker, long now) {
        for (int i = 0; i < SETTINGS.ejectAfterBadCalls(); i++) {
            table.onEnd(table.onStart(upstream(worker), now), Outcome.FAILED, 0, now);
        }
    }

    private Map<String, Integer> countChoices(WorkerTable table, ChoiceContext context, int times) {
        Map<String, Integer> chosen = new HashMap<>();
        for (int i = 0; i < times; i++) {
            Optional<Upstream> worker = table.choose(context, 0, random);
            worker.ifPresent(w -> chosen.merge(w.name(), 1, Integer::sum));
        }
        return chosen;
    }

    private static WorkerTable table(int size, int concurrency, int routers) {
        WorkerTable table = new WorkerTable(concurrency, routers, SETTINGS);
        for (int i = 0; i < size; i++) {
            table.add(upstream(i), false, 0);
        }
        return table;
    }

    private static Upstream upstream(int i) {
        return new Upstream("worker-" + i, "vm-" + i, "127.0.0.1:1", "domain-" + i % 5);
    }
}
