package org.bronzewheel.claim;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.check.FakeMembership;
import org.bronzewheel.check.FakeNetwork;
import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.request.RequestId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Measures the cost of a claim and of the evidence on lists, with all routers in one thread. The
 * system properties {@code claims.routers} and {@code claims.evidenceMillis} set the number of
 * routers and the age of evidence.
 */
class ClaimCostTest {
    private static final long EPOCH_MILLIS = 1_800_000_000_000L;
    private static final int WARM_UP_CLAIMS = 5_000;
    private static final int CLAIMS = 10_000;

    private final TestScheduler time = new TestScheduler();
    private final FakeNetwork network = new FakeNetwork();
    private final List<PeerClaimService> routers = new ArrayList<>();
    private long lastSequence;

    @ParameterizedTest
    @CsvSource({"1, 0", "3, 4", "5, 8"})
    void aClaimByAVoterSendsOneRequestAndOneReplyPerOtherSeat(int count, int messages) {
        start(count);
        claimMany(WARM_UP_CLAIMS);
        long messagesBefore = network.messages();
        long bytesBefore = network.bytes();
        long cpuBefore = cpuNanos();

        claimMany(CLAIMS);

        System.out.printf(
                "CHECK cost of a claim, %d seats: %d messages, %d bytes, %.1f us of all routers%n",
                count,
                (network.messages() - messagesBefore) / CLAIMS,
                (network.bytes() - bytesBefore) / CLAIMS,
                (cpuNanos() - cpuBefore) / 1_000.0 / CLAIMS);
        assertThat(network.messages() - messagesBefore).isEqualTo((long) messages * CLAIMS);
    }

    @Test
    void listEvidenceSendsOnePingAndOnePongPerPeer() {
        int count = Integer.getInteger("claims.routers", 9);
        long evidenceMillis = Long.getLong("claims.evidenceMillis", 2_000);
        start(count, evidenceMillis);
        long messagesBefore = network.messages();
        long bytesBefore = network.bytes();
        long cpuBefore = cpuNanos();

        time.advanceTimeBy(evidenceMillis, TimeUnit.MILLISECONDS);

        double routerSeconds = count * evidenceMillis / 1_000.0;
        System.out.printf(
                "CHECK evidence, %d routers, %d ms: %.1f messages, %.0f bytes, %.0f us sent a"
                        + " router and second%n",
                count,
                evidenceMillis,
                (network.messages() - messagesBefore) / routerSeconds,
                (network.bytes() - bytesBefore) / routerSeconds,
                (cpuNanos() - cpuBefore) / 1_000.0 / routerSeconds);
        assertThat(network.messages() - messagesBefore).isEqualTo(2L * 4 * count * (count - 1));
    }

    private void start(int count) {
        start(count, ClaimSettings.DEFAULT.evidenceMillis());
    }

    private void start(int count, long evidenceMillis) {
        ClaimSettings settings = ClaimSettings.DEFAULT.withEvidenceMillis(evidenceMillis);
        List<FakeMembership> memberships = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            FakeMembership membership = new FakeMembership();
            PeerClaimService service =
                    new PeerClaimService(
                            network.addRouter("r" + i, 1),
                            membership,
                            settings,
                            time,
                            () -> time.now(TimeUnit.NANOSECONDS),
                            () -> EPOCH_MILLIS + time.now(TimeUnit.MILLISECONDS));
            service.start();
            memberships.add(membership);
            routers.add(service);
        }
        memberships.forEach(membership -> membership.setList(FakeMembership.routers(1, count)));
        time.advanceTimeBy(2 * settings.warmUpMillis(), TimeUnit.MILLISECONDS);
    }

    private void claimMany(int claims) {
        for (int i = 0; i < claims; i++) {
            int router = i % routers.size();
            long nowMillis = EPOCH_MILLIS + time.now(TimeUnit.MILLISECONDS);
            IdempotencyKey key = UuidKeys.version7(nowMillis, ++lastSequence);
            RequestId requestId = new RequestId("r" + router, 1, lastSequence);
            routers.get(router)
                    .claim(new ClaimRequest(key, requestId, "0123456789abcdef", 1_000))
                    .test()
                    .assertValue(new ClaimDecision.Granted(requestId));
        }
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
