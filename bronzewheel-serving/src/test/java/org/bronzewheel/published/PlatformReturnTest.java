package org.bronzewheel.published;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.published.PublishedChange.UpstreamPut;
import org.bronzewheel.published.PublishedChange.UpstreamRemoved;
import org.bronzewheel.standin.VirtualPeers;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests in virtual time how soon a router drops entries that were removed in an outage. */
class PlatformReturnTest {
    private static final long GRACE_MILLIS = 2_000;
    private static final long EXPIRY_MILLIS = 2_400;

    /** The time after a disruption of the platform from which a router is bound by it. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final long RESPONSE_TIMEOUT_MILLIS = 900;
    private static final long OUTAGE_AT_MILLIS = 5_000;
    private static final int SEEDS = 60;

    private final TestScheduler scheduler = new TestScheduler();
    private final Loop loop = new Loop(scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS));
    private final VirtualPeers peers = new VirtualPeers(scheduler);
    private final List<PublishedChange> log = new ArrayList<>();
    private Trouble trouble = Trouble.NONE;

    /** What the platform does to requests. */
    private enum Trouble {
        NONE,
        SILENT,
        REJECTING,
        SLOW,
        /** Cuts waiting requests and rejects every other one. */
        CUTTING
    }

    /** A router that reads the platform, if it is given no reader. */
    private final class Router implements PublishedSource {
        private final UpstreamTable upstreams = new UpstreamTable(GRACE_MILLIS, EXPIRY_MILLIS);
        private final PublishedFollower follower;
        private int requests;

        Router(String vmId, Optional<String> reader, long seed) {
            PeerTransport transport = peers.add(vmId);
            follower =
                    new PublishedFollower(
                            new PeerPublishedSource(this, transport, () -> reader, loop),
                            new CatalogState(4_000),
                            upstreams,
                            loop,
                            new SplittableRandom(seed),
                            new PublishedRelay(transport, loop));
            follower.start();
            loop.every(100, () -> upstreams.expire(loop.nowMillis()));
        }

        @Override
        public Single<PublishedBatch> snapshot() {
            return changes(new PublishedPosition(1, 0), 0);
        }

        @Override
        public Single<PublishedBatch> changes(PublishedPosition after, long waitMillis) {
            requests++;
            long timeoutMillis = waitMillis + RESPONSE_TIMEOUT_MILLIS;
            return Single.timer(2, TimeUnit.MILLISECONDS, scheduler)
                    .flatMap(t -> respond((int) after.revision(), loop.nowMillis() + waitMillis))
                    .timeout(timeoutMillis, TimeUnit.MILLISECONDS, scheduler);
        }

        private Single<PublishedBatch> respond(int after, long untilMillis) {
            return switch (trouble) {
                case SILENT -> Single.never();
                case REJECTING -> Single.error(new IllegalStateException("rejected"));
                case CUTTING ->
                        requests % 2 == 0 || after == log.size()
                                ? Single.error(new IllegalStateException("cut"))
                                : batch(after);
                case SLOW -> batch(after).delay(200, TimeUnit.MILLISECONDS, scheduler);
                case NONE ->
                        after < log.size() || loop.nowMillis() >= untilMillis
                                ? batch(after)
                                : Single.timer(5, TimeUnit.MILLISECONDS, scheduler)
                                        .flatMap(t -> respond(after, untilMillis));
            };
        }

        private Single<PublishedBatch> batch(int after) {
            return Single.just(
                    new PublishedBatch(
                            new PublishedPosition(1, log.size()),
                            List.copyOf(log.subList(after, log.size()))));
        }

        @Override
        public long epoch() {
            return 1;
        }

        boolean serves(String id) {
            return upstreams.find(id).isPresent();
        }
    }

    private static UpstreamPut entry(String id) {
        return new UpstreamPut(new UpstreamEntry(id, "s", "10.0.0.1:80", "d", 1, 7, false));
    }

    private void advanceTo(long millis) {
        scheduler.advanceTimeTo(millis, TimeUnit.MILLISECONDS);
    }

    // DRAIN: the return grace began when the router noticed the return, up to 2.7 s after it.
    @ParameterizedTest
    @EnumSource(
            value = Trouble.class,
            names = {"NONE"},
            mode = EnumSource.Mode.EXCLUDE)
    void anEntryRemovedInAnOutageIsDroppedBeforeARouterIsBoundByItsRemoval(Trouble kind) {
        SplittableRandom random = new SplittableRandom(43);
        for (long seed = 0; seed < SEEDS; seed++) {
            log.clear();
            log.addAll(List.of(entry("a"), entry("b")));
            trouble = Trouble.NONE;
            long startMillis = loop.nowMillis();
            Router router = new Router("vm-" + kind + seed, Optional.empty(), seed);
            long outageMillis = startMillis + OUTAGE_AT_MILLIS + random.nextLong(1_000);
            long returnMillis = outageMillis + random.nextLong(1, 9_000);
            long removalMillis = random.nextLong(outageMillis, returnMillis);
            advanceTo(outageMillis);
            trouble = kind;
            advanceTo(removalMillis);
            log.add(new UpstreamRemoved("a"));
            advanceTo(returnMillis);
            trouble = Trouble.NONE;
            advanceTo(Math.max(removalMillis + GRACE_MILLIS, returnMillis + CONTACT_MILLIS));
            String play =
                    "seed %d, outage of %d ms, removed %d ms before its end"
                            .formatted(
                                    seed,
                                    returnMillis - outageMillis,
                                    returnMillis - removalMillis);
            assertWithMessage(play).that(router.serves("a")).isFalse();
            assertWithMessage(play).that(router.serves("b")).isTrue();
            router.follower.stop();
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Trouble.class,
            names = {"SILENT", "REJECTING"})
    void anEntryThatExpiredInALongOutageIsServedUntilItIsRegisteredAgain(Trouble kind) {
        for (long seed = 0; seed < SEEDS; seed++) {
            log.clear();
            log.addAll(List.of(entry("a")));
            trouble = Trouble.NONE;
            long outageMillis = loop.nowMillis() + OUTAGE_AT_MILLIS + 7 * seed;
            Router router = new Router("vm-" + kind + seed, Optional.empty(), seed);
            advanceTo(outageMillis);
            trouble = kind;
            log.add(new UpstreamRemoved("a"));
            advanceTo(outageMillis + 6_000 + 11 * seed);
            trouble = Trouble.NONE;
            for (int i = 0; i < 120; i++) {
                advanceTo(loop.nowMillis() + 10);
                assertThat(router.serves("a")).isTrue();
            }
            log.add(entry("a"));
            advanceTo(loop.nowMillis() + CONTACT_MILLIS);
            assertThat(router.serves("a")).isTrue();
            router.follower.stop();
        }
    }

    // DRAIN: the loss of the router that reads the platform for others was taken for an outage.
    @Test
    void anEntryRemovedWhenTheReaderIsLostIsDroppedAtOnce() {
        log.addAll(List.of(entry("a"), entry("b")));
        new Router("reader", Optional.empty(), 1);
        Router router = new Router("follower", Optional.of("reader"), 2);
        advanceTo(OUTAGE_AT_MILLIS);
        peers.silence("reader");
        advanceTo(OUTAGE_AT_MILLIS + 1_000);
        log.add(new UpstreamRemoved("a"));
        advanceTo(OUTAGE_AT_MILLIS + 1_000 + GRACE_MILLIS);
        assertThat(router.serves("a")).isFalse();
        assertThat(router.serves("b")).isTrue();
    }

    @Test
    void aPlatformThatIgnoresRequestsIsNotAskedMoreThanThreeTimesASecond() {
        log.addAll(List.of(entry("a")));
        Router router = new Router("vm", Optional.empty(), 1);
        advanceTo(OUTAGE_AT_MILLIS);
        trouble = Trouble.SILENT;
        advanceTo(OUTAGE_AT_MILLIS + 2_000);
        int before = router.requests;
        advanceTo(OUTAGE_AT_MILLIS + 62_000);
        assertThat(router.requests - before).isAtMost(180);
    }
}
