package org.bronzewheel.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.rules.RequestClass;
import org.junit.jupiter.api.Test;

class AdmissionQueueTest {
    private static final long MILLI = 1_000_000L;
    private static final RequestClass URGENT = new RequestClass("urgent", 0, 1_000, 0, 0);
    private static final RequestClass BULK = new RequestClass("bulk", 2, 60_000, 10, 0);
    private static final long FAR_DEADLINE = 1_000_000 * MILLI;

    private final AdmissionQueue<String> queue = new AdmissionQueue<>(1_000, w -> 1);

    @Test
    void higherPriorityClassIsServedFirst() {
        offer(BULK, "a", FAR_DEADLINE, 0);
        offer(URGENT, "a", FAR_DEADLINE, 0);
        assertThat(takeNext(0).request().requestClass()).isEqualTo(URGENT);
    }

    @Test
    void workIsOrderedByDeadlineWithinAWorkspace() {
        queue.offer("later", request(BULK, "a", 2 * FAR_DEADLINE, 0), 0);
        queue.offer("sooner", request(BULK, "a", FAR_DEADLINE, 0), 0);
        assertThat(takeNext(0).item()).isEqualTo("sooner");
    }

    @Test
    void workThatCannotMeetItsDeadlineIsRefusedOnArrival() {
        Optional<Refusal> refusal = queue.offer("x", request(URGENT, "a", 10 * MILLI, 20), 0);
        assertThat(refusal.map(Refusal::code)).hasValue(ErrorCode.DEADLINE_TOO_SHORT);
        assertThat(queue.size()).isEqualTo(0);
    }

    @Test
    void fullClassRefusesWorkWhileOtherClassesAccept() {
        AdmissionQueue<String> small = new AdmissionQueue<>(1, w -> 1);
        assertThat(small.offer("x", request(BULK, "a", FAR_DEADLINE, 0), 0)).isEmpty();
        Optional<Refusal> refusal = small.offer("y", request(BULK, "a", FAR_DEADLINE, 0), 0);
        assertThat(refusal.map(Refusal::code)).hasValue(ErrorCode.OVERLOADED);
        assertThat(refusal.orElseThrow().retryAfterMillis()).isAtLeast(1L);
        assertThat(small.offer("z", request(URGENT, "a", FAR_DEADLINE, 0), 0)).isEmpty();
    }

    @Test
    void queueWithoutMeasuredRateAdmitsWork() {
        for (int i = 0; i < 100; i++) {
            assertThat(offer(URGENT, "a", 1_000 * MILLI, 0)).isEmpty();
        }
    }

    @Test
    void workThatWouldWaitTooLongIsRefusedWithRetryAfter() {
        long now = drainAtOnePerTenMillis();
        for (int i = 0; i < 20; i++) {
            assertThat(offer(URGENT, "a", now + FAR_DEADLINE, now)).isEmpty();
        }
        Optional<Refusal> refusal = offer(URGENT, "a", now + 100 * MILLI, now);
        assertThat(refusal.map(Refusal::code)).hasValue(ErrorCode.OVERLOADED);
        assertThat(refusal.orElseThrow().retryAfterMillis()).isAtLeast(50L);
        assertThat(offer(URGENT, "a", now + 1_000 * MILLI, now)).isEmpty();
    }

    @Test
    void workThatBecomesInfeasibleIsDroppedBeforeItsDeadline() {
        for (int i = 0; i < 200; i++) {
            offer(URGENT, "a", 1_500 * MILLI, 0);
        }
        long now = 0;
        for (int i = 0; i < 60; i++) {
            now += 10 * MILLI;
            takeNext(now);
        }
        List<Dropped<String>> dropped = queue.dropInfeasible(now);
        assertThat(dropped.size()).isAtLeast(40);
        assertThat(queue.size()).isAtLeast(80);
        assertThat(dropped.get(0).refusal().code()).isEqualTo(ErrorCode.OVERLOADED);
    }

    @Test
    void removedWorkIsNotServed() {
        offer(URGENT, "a", FAR_DEADLINE, 0);
        Queued<String> head = queue.heads().get(0);
        assertThat(queue.remove(head, 0)).isTrue();
        assertThat(queue.remove(head, 0)).isFalse();
        assertThat(queue.heads()).isEmpty();
        assertThat(queue.size()).isEqualTo(0);
    }

    @Test
    void classesOfEqualPriorityShareEvenly() {
        RequestClass page = new RequestClass("page", 0, 1_000, 0, 0);
        Map<RequestClass, Integer> served = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            offer(URGENT, "a", FAR_DEADLINE, 0);
            offer(page, "a", FAR_DEADLINE, 0);
        }
        for (int i = 0; i < 100; i++) {
            served.merge(takeNext(0).request().requestClass(), 1, Integer::sum);
        }
        assertThat(served).containsExactly(URGENT, 50, page, 50);
    }

    @Property(seed = "1", tries = 50)
    void backloggedClassGetsItsFloorAndHigherPrioritiesTheRest(
            @ForAll @IntRange(min = 1, max = 60) int floorPercent) {
        AdmissionQueue<String> fair = new AdmissionQueue<>(10_000, w -> 1);
        RequestClass floored = new RequestClass("floored", 5, 60_000, floorPercent, 0);
        int rounds = 1_000;
        int flooredServed = 0;
        for (int i = 0; i < rounds; i++) {
            fair.offer("u", request(URGENT, "a", FAR_DEADLINE, 0), 0);
            fair.offer("f", request(floored, "a", FAR_DEADLINE, 0), 0);
        }
        for (int i = 0; i < rounds; i++) {
            Queued<String> head = fair.heads().get(0);
            fair.dequeue(head, 0);
            flooredServed += head.item().equals("f") ? 1 : 0;
        }
        assertThat((double) flooredServed).isWithin(2).of(rounds * floorPercent / 100.0);
    }

    @Property(seed = "2", tries = 50)
    void backloggedWorkspacesShareByWeight(
            @ForAll @IntRange(min = 1, max = 9) int weight,
            @ForAll @IntRange(min = 1, max = 4) int cost) {
        AdmissionQueue<String> fair = new AdmissionQueue<>(10_000, w -> w.equals("b") ? weight : 1);
        for (int i = 0; i < 500; i++) {
            fair.offer("a", request(BULK, "a", FAR_DEADLINE, 0, cost), 0);
            fair.offer("b", request(BULK, "b", FAR_DEADLINE, 0, 1), 0);
        }
        double costOfA = 0;
        double costOfB = 0;
        for (int i = 0; i < 300; i++) {
            Queued<String> head = fair.heads().get(0);
            fair.dequeue(head, 0);
            costOfA += head.item().equals("a") ? cost : 0;
            costOfB += head.item().equals("b") ? 1 : 0;
        }
        assertThat(Math.abs(costOfA - costOfB / weight)).isAtMost(cost + 1.0);
    }

    private long drainAtOnePerTenMillis() {
        for (int i = 0; i < 200; i++) {
            offer(URGENT, "a", FAR_DEADLINE, 0);
        }
        long now = 0;
        while (queue.size() > 0) {
            now += 10 * MILLI;
            queue.dropInfeasible(now);
            takeNext(now);
        }
        return now;
    }

    private Optional<Refusal> offer(RequestClass c, String workspace, long deadline, long now) {
        return queue.offer("x", request(c, workspace, deadline, 0), now);
    }

    private Queued<String> takeNext(long now) {
        Queued<String> head = queue.heads().get(0);
        queue.dequeue(head, now);
        return head;
    }

    private static AdmissionRequest request(
            RequestClass requestClass, String workspace, long deadline, long needMillis) {
        return request(requestClass, workspace, deadline, needMillis, 1);
    }

    private static AdmissionRequest request(
            RequestClass requestClass,
            String workspace,
            long deadline,
            long needMillis,
            double costMillis) {
        return new AdmissionRequest(
                requestClass, workspace, deadline, needMillis * MILLI, costMillis * MILLI);
    }
}
