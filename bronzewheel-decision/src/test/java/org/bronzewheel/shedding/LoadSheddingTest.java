package org.bronzewheel.shedding;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

class LoadSheddingTest {
    private static final long NOW = 10_000;
    private static final int CALL = 16;
    private static final int LEAST_CALL = 8;
    private static final int LAST_RANK = 3;
    private static final PoolCapacity WITHOUT_SHARES =
            new PoolCapacity(0, CALL, LEAST_CALL, rank -> 0);

    /** A queue and the capacity of its pool; shares are powers of two, so that sums are exact. */
    private record Queue(List<QueuedTask<String>> tasks, PoolCapacity capacity) {
        SheddingDecision<String> decide() {
            return LoadShedding.decide(tasks, capacity, NOW);
        }

        Queue with(List<QueuedTask<String>> others) {
            return new Queue(others, capacity);
        }

        List<QueuedTask<String>> of(List<String> names) {
            Map<String, QueuedTask<String>> byName = new HashMap<>();
            tasks.forEach(queued -> byName.put(queued.task(), queued));
            return names.stream().map(byName::get).toList();
        }

        double latestStart(QueuedTask<String> queued) {
            return queued.deadlineAtMillis() - queued.leastLaterMillis() - LEAST_CALL;
        }

        double latestOnTimeStart(QueuedTask<String> queued) {
            return Math.min(
                    queued.objectiveAtMillis() - queued.laterMillis() - CALL, latestStart(queued));
        }

        /** Returns the tasks on time by rank if they are served in an order. */
        Map<Integer, Integer> onTime(List<QueuedTask<String>> order) {
            Map<Integer, Integer> onTime = new TreeMap<>();
            Map<Integer, Double> ofRank = new HashMap<>();
            double ahead = 0;
            for (QueuedTask<String> queued : order) {
                double share = capacity.guaranteedShare().applyAsDouble(queued.rank());
                double withOwn = ofRank.merge(queued.rank(), queued.workMillis(), Double::sum);
                double wait = share > 0 ? Math.min(ahead, withOwn / share) : ahead;
                if (NOW + capacity.blockedMillis() + wait <= latestOnTimeStart(queued)) {
                    onTime.merge(queued.rank(), 1, Integer::sum);
                }
                ahead += queued.workMillis();
            }
            return onTime;
        }

        boolean isPlainlyLate(QueuedTask<String> queued) {
            return NOW + CALL + queued.laterMillis() > queued.objectiveAtMillis();
        }

        /** Returns the order without the policy: late tasks behind those of the next rank. */
        List<QueuedTask<String>> plainOrder() {
            List<QueuedTask<String>> order = new ArrayList<>(tasks);
            order.sort(
                    Comparator.<QueuedTask<String>>comparingInt(
                                    q -> 2 * q.rank() + (isPlainlyLate(q) ? 3 : 0))
                            .thenComparingLong(QueuedTask::objectiveAtMillis));
            return order;
        }

        List<QueuedTask<String>> byRankAndObjective() {
            List<QueuedTask<String>> order = new ArrayList<>(tasks);
            order.sort(
                    Comparator.<QueuedTask<String>>comparingInt(QueuedTask::rank)
                            .thenComparingLong(QueuedTask::objectiveAtMillis));
            return order;
        }
    }

    private static QueuedTask<String> task(
            String name, int rank, int work, int objective, int deadline, int later) {
        return new QueuedTask<>(
                name, name, 0, rank, NOW + objective, NOW + deadline, work, later, later / 2.0);
    }

    private static QueuedTask<String> task(String name, int rank, int work, int objective) {
        return task(name, rank, work, objective, 100_000, 0);
    }

    @Provide
    Arbitrary<Queue> queues() {
        return queues(LAST_RANK, 30);
    }

    @Provide
    Arbitrary<Queue> smallQueuesOfOneRank() {
        return queues(0, 6);
    }

    private static Arbitrary<Queue> queues(int lastRank, int maxTasks) {
        Arbitrary<QueuedTask<String>> tasks =
                Combinators.combine(
                                Arbitraries.integers().between(0, lastRank),
                                Arbitraries.integers().between(1, 60),
                                Arbitraries.integers().between(-50, 600),
                                Arbitraries.integers().between(-100, 900),
                                Arbitraries.integers().between(0, 80))
                        .as(
                                (rank, work, objective, more, later) ->
                                        task("", rank, work, objective, objective + more, later));
        Arbitrary<List<Double>> shares =
                Arbitraries.of(0.0, 0.125, 0.25).list().ofSize(LAST_RANK + 1);
        return Combinators.combine(
                        tasks.list().ofMaxSize(maxTasks),
                        shares,
                        Arbitraries.integers().between(0, 40))
                .as(
                        (list, share, blocked) ->
                                new Queue(
                                        named(list),
                                        new PoolCapacity(blocked, CALL, LEAST_CALL, share::get)));
    }

    private static List<QueuedTask<String>> named(List<QueuedTask<String>> tasks) {
        List<QueuedTask<String>> named = new ArrayList<>();
        for (QueuedTask<String> t : tasks) {
            String name = "t" + named.size();
            named.add(
                    new QueuedTask<>(
                            name,
                            name,
                            0,
                            t.rank(),
                            t.objectiveAtMillis(),
                            t.deadlineAtMillis(),
                            t.workMillis(),
                            t.laterMillis(),
                            t.leastLaterMillis()));
        }
        return named;
    }

    private static Set<String> delayed(SheddingDecision<String> decision) {
        Set<String> delayed = new HashSet<>(decision.displaced());
        delayed.addAll(decision.late());
        return delayed;
    }

    // Guards against a policy that makes more requests late than the order that it replaces.
    @Property
    void noRankHasFewerTasksOnTimeThanInThePlainOrders(@ForAll("queues") Queue queue) {
        Map<Integer, Integer> decided = queue.onTime(queue.of(queue.decide().order()));
        for (List<QueuedTask<String>> plain :
                List.of(queue.byRankAndObjective(), queue.plainOrder())) {
            queue.onTime(plain)
                    .forEach(
                            (rank, onTime) ->
                                    assertWithMessage("on time of rank %s", rank)
                                            .that(decided.getOrDefault(rank, 0))
                                            .isAtLeast(onTime));
        }
    }

    // Guards against tasks that are reported as on time, but are not at their place in the order.
    @Property
    void allTasksThatAreNotDelayedAreOnTime(@ForAll("queues") Queue queue) {
        SheddingDecision<String> decision = queue.decide();
        int onTime =
                queue.onTime(queue.of(decision.order())).values().stream()
                        .mapToInt(Integer::intValue)
                        .sum();
        assertThat(onTime).isAtLeast(decision.order().size() - delayed(decision).size());
    }

    // Guards against a choice that is not the best one of Moore and Hodgson.
    @Property(tries = 300)
    void noOrderHasMoreTasksOnTimeThanTheDecision(@ForAll("smallQueuesOfOneRank") Queue queue) {
        SheddingDecision<String> decision = queue.decide();
        int kept = decision.order().size() - delayed(decision).size();
        assertThat(kept).isAtLeast(mostOnTime(queue, new ArrayList<>(), queue.tasks()));
    }

    private static int mostOnTime(
            Queue queue, List<QueuedTask<String>> first, List<QueuedTask<String>> others) {
        int most = queue.onTime(first).getOrDefault(0, 0);
        for (QueuedTask<String> next : others) {
            List<QueuedTask<String>> longer = new ArrayList<>(first);
            longer.add(next);
            List<QueuedTask<String>> fewer = new ArrayList<>(others);
            fewer.remove(next);
            most = Math.max(most, mostOnTime(queue, longer, fewer));
        }
        return most;
    }

    // Guards against urgent requests that are late because of less urgent ones.
    @Property
    void lessUrgentTasksDoNotChangeWhatIsKeptOnTimeOfARank(@ForAll("queues") Queue queue) {
        for (int last = 0; last < LAST_RANK; last++) {
            int rank = last;
            Queue urgent =
                    queue.with(queue.tasks().stream().filter(t -> t.rank() <= rank).toList());
            assertThat(onTimeUpTo(rank, queue)).isEqualTo(onTimeUpTo(rank, urgent));
        }
    }

    private static List<QueuedTask<String>> onTimeUpTo(int rank, Queue queue) {
        SheddingDecision<String> decision = queue.decide();
        Set<String> delayed = delayed(decision);
        return queue.of(decision.order()).stream()
                .filter(t -> t.rank() <= rank && !delayed.contains(t.task()))
                .toList();
    }

    @Property
    void decisionDoesNotDependOnTheOrderOfItsInput(
            @ForAll("queues") Queue queue, @ForAll long seed) {
        List<QueuedTask<String>> shuffled = new ArrayList<>(queue.tasks());
        Collections.shuffle(shuffled, new Random(seed));
        assertThat(queue.with(shuffled).decide()).isEqualTo(queue.decide());
    }

    @Property
    void noTaskIsLostOrDoubled(@ForAll("queues") Queue queue) {
        SheddingDecision<String> decision = queue.decide();
        List<String> all = new ArrayList<>(decision.order());
        all.addAll(decision.shed());
        assertThat(all)
                .containsExactlyElementsIn(queue.tasks().stream().map(QueuedTask::task).toList());
        assertThat(decision.order()).containsAtLeastElementsIn(delayed(decision));
    }

    // Guards against requests that are shed although there is time for them.
    @Property
    void taskIsShedOnlyIfItsDeadlineCannotBeMetBehindTheTasksAheadOfIt(
            @ForAll("queues") Queue queue) {
        SheddingDecision<String> decision = queue.decide();
        for (QueuedTask<String> shed : queue.of(decision.shed())) {
            double ahead = 0;
            double ofRank = 0;
            for (QueuedTask<String> kept : queue.of(decision.order())) {
                if (place(kept, queue) <= place(shed, queue)) {
                    ahead += kept.workMillis();
                    ofRank += kept.rank() == shed.rank() ? kept.workMillis() : 0;
                }
            }
            double share = queue.capacity().guaranteedShare().applyAsDouble(shed.rank());
            double wait = share > 0 ? Math.min(ahead, ofRank / share) : ahead;
            assertThat(NOW + queue.capacity().blockedMillis() + wait)
                    .isGreaterThan(queue.latestStart(shed));
        }
    }

    /** Returns the place of the group of a task: behind the next rank if it is late anywhere. */
    private static int place(QueuedTask<String> queued, Queue queue) {
        boolean late = queue.latestOnTimeStart(queued) < NOW + queue.capacity().blockedMillis();
        return 2 * queued.rank() + (late ? 3 : 0);
    }

    // Guards against an order in which a task that could meet its deadline is shed.
    @Property
    void nothingIsShedWhereAllDeadlinesAreFar(@ForAll("queues") Queue queue) {
        List<QueuedTask<String>> patient =
                queue.tasks().stream()
                        .map(
                                t ->
                                        new QueuedTask<>(
                                                t.task(),
                                                t.requestId(),
                                                0,
                                                t.rank(),
                                                t.objectiveAtMillis(),
                                                NOW + 100_000,
                                                t.workMillis(),
                                                t.laterMillis(),
                                                t.leastLaterMillis()))
                        .toList();
        assertThat(queue.with(patient).decide().shed()).isEmpty();
    }

    private static SheddingDecision<String> decide(List<QueuedTask<String>> tasks) {
        return LoadShedding.decide(tasks, WITHOUT_SHARES, NOW);
    }

    @Test
    void taskWithMostWorkIsDelayedWhereNotAllCanBeOnTime() {
        SheddingDecision<String> decision =
                decide(
                        List.of(
                                task("large", 0, 100, 30),
                                task("a", 0, 10, 60),
                                task("b", 0, 10, 70),
                                task("c", 0, 10, 80)));
        assertThat(decision.order()).containsExactly("a", "b", "c", "large").inOrder();
        assertThat(decision.displaced()).containsExactly("large");
    }

    // Guards against a request that new ones of the same size pass at each decision.
    @Test
    void taskWithTheLatestObjectiveIsDisplacedAmongThoseOfTheSameSize() {
        SheddingDecision<String> decision =
                decide(
                        List.of(
                                task("z oldest", 0, 100, 30),
                                task("y", 0, 100, 130),
                                task("x newest", 0, 100, 140)));
        assertThat(decision.order()).containsExactly("z oldest", "y", "x newest").inOrder();
        assertThat(decision.displaced()).containsExactly("x newest");
    }

    @Test
    void lateTasksFollowTheNextRankButPrecedeTheOneAfterIt() {
        SheddingDecision<String> decision =
                decide(
                        List.of(
                                task("late", 0, 10, -1),
                                task("next", 1, 10, 500),
                                task("last", 2, 10, 500)));
        assertThat(decision.order()).containsExactly("next", "late", "last").inOrder();
    }

    // Guards against urgent requests that less urgent ones pass because the capacity is
    // underestimated.
    @Test
    void displacedTasksPrecedeTheNextRank() {
        SheddingDecision<String> decision =
                decide(
                        List.of(
                                task("large", 0, 100, 50),
                                task("a", 0, 60, 90),
                                task("b", 0, 20, 100),
                                task("next", 1, 10, 5_000)));
        assertThat(decision.order()).containsExactly("a", "b", "large", "next").inOrder();
        assertThat(decision.displaced()).containsExactly("large");
    }

    // Guards against new requests that pass those near completion without need.
    @Test
    void tasksOnTimeAreOrderedByObjectiveWhereAllAreOnTimeThen() {
        List<QueuedTask<String>> tasks =
                List.of(task("new", 0, 10, 900, 9_000, 800), task("old", 0, 10, 500));
        assertThat(decide(tasks).order()).containsExactly("old", "new").inOrder();
    }

    @Test
    void delayedTasksAreOrderedByTheWorkThatIsLeftOfTheirRequests() {
        SheddingDecision<String> decision =
                decide(
                        List.of(
                                task("long way", 0, 10, -1, 9_000, 500),
                                task("large", 0, 100, -1, 9_000, 0),
                                task("small", 0, 10, -1, 9_000, 0)));
        assertThat(decision.order()).containsExactly("small", "large", "long way").inOrder();
    }

    // Guards against small delayed tasks that pass a larger one whose deadline is near.
    @Test
    void delayedTasksAreOrderedByDeadlineWhereOneWouldMissIt() {
        SheddingDecision<String> decision =
                decide(
                        List.of(
                                task("large", 0, 100, -1, 20, 0),
                                task("small", 0, 50, -1, 9_000, 0)));
        assertThat(decision.order()).containsExactly("large", "small").inOrder();
    }

    @Test
    void taskPastItsDeadlineIsShed() {
        SheddingDecision<String> decision =
                decide(List.of(task("past", 0, 10, -50, LEAST_CALL - 1, 0), task("a", 0, 10, 50)));
        assertThat(decision.shed()).containsExactly("past");
        assertThat(decision.order()).containsExactly("a");
    }

    // Guards against tasks of a starved rank that count as late although their share serves them.
    @Test
    void guaranteedShareKeepsALessUrgentRankOnTime() {
        List<QueuedTask<String>> tasks =
                List.of(task("urgent", 0, 1_000, 500), task("other", 1, 10, 200));
        PoolCapacity shared = new PoolCapacity(0, CALL, LEAST_CALL, rank -> 0.25);
        assertThat(decide(tasks).displaced()).containsExactly("other");
        assertThat(LoadShedding.decide(tasks, shared, NOW).displaced()).isEmpty();
    }
}
