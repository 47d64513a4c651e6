package org.bronzewheel.claim;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.bronzewheel.check.FakeMembership;
import org.bronzewheel.check.FakeNetwork;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.vm.VmList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerClaimServiceTest {
    private static final long EPOCH_MILLIS = 1_800_000_000_000L;
    private static final ClaimSettings SETTINGS = ClaimSettings.DEFAULT;

    private final TestScheduler time = new TestScheduler();
    private final FakeNetwork network = new FakeNetwork();
    private final List<PeerClaimService> routers = new ArrayList<>();
    private final List<FakeMembership> memberships = new ArrayList<>();
    private long lastSequence;

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 9})
    void newKeysAreGrantedAfterTheWarmUp(int count) {
        startWarm(count);

        for (int i = 0; i < 20; i++) {
            ClaimRequest request = request(i % count, newKey());
            assertThat(decide(i % count, request))
                    .isEqualTo(new ClaimDecision.Granted(request.requestId()));
            assertThat(routers.get(i % count).isStillGranted(request)).isTrue();
        }
    }

    @Test
    void aRepeatedKeyJoinsTheFirstRequestAtAnyRouter() {
        startWarm(5);
        IdempotencyKey key = newKey();
        ClaimRequest first = request(0, key);
        decide(0, first);

        for (int router = 0; router < 5; router++) {
            assertThat(decide(router, request(router, key)))
                    .isEqualTo(new ClaimDecision.HeldBy(first.requestId()));
        }
    }

    @Test
    void aKeyWithAnotherBodyIsRefusedAtAnyRouter() {
        startWarm(5);
        IdempotencyKey key = newKey();
        decide(0, request(0, key));

        for (int router = 0; router < 5; router++) {
            ClaimRequest other =
                    new ClaimRequest(key, request(router, key).requestId(), "other body", 1_000);
            assertThat(decide(router, other)).isEqualTo(refused(ErrorCode.KEY_REUSED));
        }
    }

    @Test
    void aKeyOlderThanTheRetentionIsRefused() {
        startWarm(3);
        IdempotencyKey key = newKey();
        time.advanceTimeBy(SETTINGS.retentionMillis() + 1, TimeUnit.MILLISECONDS);

        assertThat(decide(0, request(0, key))).isEqualTo(refused(ErrorCode.KEY_EXPIRED));
    }

    @Test
    void aKeyFromBeforeTheStartOfTheFleetIsRefusedAsNotRemembered() {
        start(3);
        IdempotencyKey key = newKey();
        time.advanceTimeBy(SETTINGS.warmUpMillis() * 2, TimeUnit.MILLISECONDS);

        assertThat(decideLate(0, request(0, key))).isEqualTo(refused(ErrorCode.CLAIM_UNAVAILABLE));
    }

    @Test
    void anOpaqueKeyIsGrantedOnceTheFleetIsOlderThanItsAge() {
        startWarm(3);
        IdempotencyKey key = new IdempotencyKey("w", "voucher-17");
        assertThat(decideLate(0, request(0, key))).isInstanceOf(ClaimDecision.Refused.class);

        time.advanceTimeBy(SETTINGS.opaqueKeyAgeMillis(), TimeUnit.MILLISECONDS);
        ClaimRequest request = request(0, key);

        assertThat(decide(0, request)).isEqualTo(new ClaimDecision.Granted(request.requestId()));
    }

    @Test
    void newKeysAreGrantedWithAFailureDomainDown() {
        startWarm(9);
        IntStream.of(0, 3, 6).forEach(down -> network.setDown("r" + down, true));
        time.advanceTimeBy(10, TimeUnit.SECONDS);

        for (int i = 0; i < 20; i++) {
            ClaimRequest request = request(1, newKey());
            assertThat(decide(1, request))
                    .isEqualTo(new ClaimDecision.Granted(request.requestId()));
        }
    }

    @Test
    void aPartitionedMinorityRefusesClaims() {
        startWarm(9);
        IntStream.range(4, 9).forEach(down -> network.setDown("r" + down, true));
        time.advanceTimeBy(10, TimeUnit.SECONDS);

        assertThat(decideLate(1, request(1, newKey())))
                .isEqualTo(refused(ErrorCode.CLAIM_UNAVAILABLE));
    }

    @Test
    void newKeysAreGrantedDuringAChangeOfTheListAndAfterIt() {
        startWarm(5);
        for (int count = 6; count <= 9; count++) {
            join(count - 1);
            VmList list = FakeMembership.routers(count, count);
            for (int router = 0; router < count; router++) {
                memberships.get(router).setList(list);
                ClaimRequest request = request(router, newKey());
                assertThat(decide(0, request))
                        .isEqualTo(new ClaimDecision.Granted(request.requestId()));
            }
            time.advanceTimeBy(SETTINGS.warmUpMillis() + 1, TimeUnit.MILLISECONDS);
        }
    }

    @Test
    void aGrantExpiresLongBeforeTheVotesAreDiscarded() {
        startWarm(3);
        ClaimRequest request = request(0, newKey());
        decide(0, request);

        time.advanceTimeBy(SETTINGS.grantMillis(), TimeUnit.MILLISECONDS);

        assertThat(routers.get(0).isStillGranted(request)).isFalse();
    }

    @Test
    void theHeirOfASeatVotesForItAfterAGracefulShutdown() {
        startWarm(9);
        IdempotencyKey key = newKey();
        List<String> group =
                VoterGroupSelector.select(key, VoterList.of(FakeMembership.routers(9, 9)));
        time.advanceTimeBy(1, TimeUnit.MILLISECONDS);

        TestObserver<Boolean> handedOver = service(group.get(4)).handOver(1_000).test();
        time.advanceTimeBy(1, TimeUnit.SECONDS);
        handedOver.assertValue(true);
        String heir = heirOf(group.get(4));
        network.setDown(group.get(4), true);
        group.subList(0, 4).stream()
                .filter(seat -> !seat.equals(heir))
                .limit(2)
                .forEach(seat -> network.setDown(seat, true));

        int asking = Integer.parseInt(heir.substring(1));
        ClaimRequest request = request(asking, key);
        assertThat(decide(asking, request))
                .isEqualTo(new ClaimDecision.Granted(request.requestId()));
    }

    @Test
    void aRouterThatHandedOverItsVotesRefusesClaims() {
        startWarm(3);
        routers.get(0).handOver(1_000).test().assertValue(true);

        assertThat(decide(0, request(0, newKey()))).isEqualTo(refused(ErrorCode.DRAINING));
    }

    @Test
    void withoutAPeerTheHandOverFails() {
        startWarm(1);
        TestObserver<Boolean> handedOver = routers.get(0).handOver(1_000).test();

        time.advanceTimeBy(1, TimeUnit.SECONDS);

        handedOver.assertValue(false);
    }

    @Test
    void aStoppedServiceRefusesAndEndsItsOpenClaims() {
        start(3);
        TestObserver<ClaimDecision> open = routers.get(0).claim(request(0, newKey())).test();

        routers.get(0).stop();

        open.assertValue(refused(ErrorCode.DRAINING));
        assertThat(decide(0, request(0, newKey()))).isEqualTo(refused(ErrorCode.DRAINING));
    }

    private PeerClaimService service(String vmId) {
        return routers.get(Integer.parseInt(vmId.substring(1)));
    }

    private String heirOf(String seat) {
        return IntStream.range(0, routers.size())
                .filter(router -> routers.get(router).inheritedSeats().contains(seat))
                .mapToObj(router -> "r" + router)
                .findFirst()
                .orElseThrow();
    }

    private void start(int count) {
        for (int i = 0; i < count; i++) {
            join(i);
        }
        memberships.forEach(membership -> membership.setList(FakeMembership.routers(count, count)));
    }

    private void startWarm(int count) {
        start(count);
        time.advanceTimeBy(SETTINGS.warmUpMillis() + 1, TimeUnit.MILLISECONDS);
    }

    private void join(int index) {
        FakeMembership membership = new FakeMembership();
        PeerClaimService service =
                new PeerClaimService(
                        network.addRouter("r" + index, 1),
                        membership,
                        SETTINGS,
                        time,
                        () -> time.now(TimeUnit.NANOSECONDS),
                        () -> EPOCH_MILLIS + time.now(TimeUnit.MILLISECONDS));
        service.start();
        memberships.add(membership);
        routers.add(service);
    }

    private ClaimDecision decide(int router, ClaimRequest request) {
        return routers.get(router).claim(request).test().values().get(0);
    }

    private ClaimDecision decideLate(int router, ClaimRequest request) {
        TestObserver<ClaimDecision> observer = routers.get(router).claim(request).test();
        time.advanceTimeBy(SETTINGS.claimMillis() + 100, TimeUnit.MILLISECONDS);
        return observer.values().get(0);
    }

    private ClaimRequest request(int router, IdempotencyKey key) {
        return new ClaimRequest(key, new RequestId("r" + router, 1, ++lastSequence), "body", 1_000);
    }

    private IdempotencyKey newKey() {
        return UuidKeys.version7(EPOCH_MILLIS + time.now(TimeUnit.MILLISECONDS), ++lastSequence);
    }

    private static ClaimDecision refused(ErrorCode code) {
        return new ClaimDecision.Refused(code, 0);
    }
}
