package org.bronzewheel.answer;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.bronzewheel.check.FakeMembership;
import org.bronzewheel.check.FakeNetwork;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.vm.VmList;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PeerAnswerServiceTest {
    private static final AnswerSettings SETTINGS = new AnswerSettings(10_000, 60_000, 2);
    private static final VmList LIST = FakeMembership.routers(1, 6);

    private final TestScheduler scheduler = new TestScheduler();
    private final FakeNetwork network = new FakeNetwork();
    private final List<PeerAnswerService> routers = new ArrayList<>();

    @BeforeEach
    void startSixRouters() {
        for (int i = 0; i < 6; i++) {
            FakeMembership membership = new FakeMembership();
            membership.setList(LIST);
            PeerAnswerService service =
                    new PeerAnswerService(
                            network.addRouter("r" + i, 1),
                            membership,
                            SETTINGS,
                            scheduler,
                            () -> scheduler.now(TimeUnit.NANOSECONDS));
            service.start();
            routers.add(service);
        }
    }

    @Test
    void answerIsFoundFromEveryRouter() {
        StoredAnswer answer = answer(0, 1, "whole");
        routers.get(0).store(answer, 100).test().assertComplete();

        for (PeerAnswerService router : routers) {
            router.find(answer.requestId(), 100).test().assertValue(answer);
        }
    }

    @Test
    void answerSurvivesTheLossOfItsRouterAndOneReplica() {
        for (int sequence = 1; sequence <= 20; sequence++) {
            StoredAnswer answer = answer(0, sequence, "whole " + sequence);
            routers.get(0).store(answer, 100).test().assertComplete();
            String holder = ReplicaSelector.rank(answer.requestId(), LIST).get(0);
            network.setDown("r0", true);
            network.setDown(holder, true);

            int asking =
                    IntStream.range(1, 6)
                            .filter(i -> !holder.equals("r" + i))
                            .findFirst()
                            .orElseThrow();
            routers.get(asking).find(answer.requestId(), 100).test().assertValue(answer);

            network.setDown("r0", false);
            network.setDown(holder, false);
        }
    }

    @Test
    void replicasArePlacedInOtherFailureDomains() {
        for (int sequence = 1; sequence <= 20; sequence++) {
            RequestId id = new RequestId("r0", 1, sequence);
            List<String> holders = ReplicaSelector.rank(id, LIST).subList(0, 2);

            assertThat(
                            holders.stream()
                                    .map(vmId -> LIST.find(vmId).orElseThrow().failureDomain())
                                    .toList())
                    .containsExactly("b", "c");
        }
    }

    @Test
    void substituteStoresTheReplicaOfAHolderThatIsDown() {
        StoredAnswer answer = answer(0, 7, "whole");
        String holder = ReplicaSelector.rank(answer.requestId(), LIST).get(0);
        network.setDown(holder, true);

        routers.get(0).store(answer, 100).test().assertComplete();

        assertThat(routers.stream().filter(router -> router.usedBytes() > 0).count()).isEqualTo(3);
    }

    @Test
    void storeStaysWithinItsSizeLimitAndEvictsTheOldestFirst() {
        for (int sequence = 1; sequence <= 100; sequence++) {
            routers.get(0).store(answer(0, sequence, "x".repeat(500)), 100).test().assertComplete();
        }

        routers.forEach(router -> assertThat(router.usedBytes()).isAtMost(SETTINGS.maxBytes()));
        routers.get(0).find(new RequestId("r0", 1, 100), 100).test().assertValueCount(1);
        assertThat(routers.get(0).usedBytes()).isGreaterThan(SETTINGS.maxBytes() - 1_000);
    }

    @Test
    void answerExpiresAfterTheRetentionTime() {
        StoredAnswer answer = answer(0, 1, "whole");
        routers.get(0).store(answer, 100).test().assertComplete();

        scheduler.advanceTimeBy(SETTINGS.retentionMillis() + 1_000, TimeUnit.MILLISECONDS);

        routers.get(0).find(answer.requestId(), 100).test().assertNoValues().assertComplete();
    }

    @Test
    void handOverReplicatesAnswersThatNoPeerHolds() {
        IntStream.range(1, 6).forEach(i -> network.setDown("r" + i, true));
        StoredAnswer answer = answer(0, 1, "whole");
        routers.get(0).store(answer, 100).test().assertComplete();
        IntStream.range(1, 6).forEach(i -> network.setDown("r" + i, false));

        routers.get(0).handOver(100).test().assertComplete();

        network.setDown("r0", true);
        routers.get(3).find(answer.requestId(), 100).test().assertValue(answer);
    }

    @Test
    void firstAnswerOfARequestIsKept() {
        StoredAnswer first = answer(0, 1, "first");
        routers.get(0).store(first, 100).test().assertComplete();
        routers.get(0).store(answer(0, 1, "second"), 100).test().assertComplete();

        routers.get(4).find(first.requestId(), 100).test().assertValue(first);
    }

    private static StoredAnswer answer(int router, long sequence, String body) {
        return new StoredAnswer(
                new RequestId("r" + router, 1, sequence),
                Outcome.ANSWERED,
                200,
                "application/json",
                body);
    }
}
