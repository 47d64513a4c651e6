package org.bronzewheel.published;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.catalog.CallerAccess;
import org.bronzewheel.catalog.CallerLimits;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.catalog.EnginePool;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.ServiceShare;
import org.bronzewheel.catalog.StagePool;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.catalog.WorkspaceEntry;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.published.PublishedChange.CatalogPut;
import org.bronzewheel.published.PublishedChange.DomainEvacuated;
import org.bronzewheel.published.PublishedChange.DomainReturned;
import org.bronzewheel.published.PublishedChange.Unreadable;
import org.bronzewheel.published.PublishedChange.UpstreamPut;
import org.bronzewheel.published.PublishedChange.UpstreamRemoved;
import org.bronzewheel.standin.VirtualPeers;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;
import org.bronzewheel.wire.PublishedCatalog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests in virtual time a router that reads the platform and one that reads through it. */
class RelayedPublicationTest {
    private static final long LEASE_MILLIS = 4_650;

    private final TestScheduler scheduler = new TestScheduler();
    private final Loop loop = new Loop(scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS));
    private final VirtualPeers peers = new VirtualPeers(scheduler);
    private final Platform platform = new Platform();
    private final Router reader = new Router("reader", Optional.empty());
    private final Router follower = new Router("follower", Optional.of("reader"));

    /** A platform that is modelled as a log of changes. */
    private final class Platform {
        private final List<PublishedChange> log = new ArrayList<>();
        private long epoch = 1;
        private boolean down;

        void publish(PublishedChange... changes) {
            log.addAll(List.of(changes));
        }

        /** Comes back from a copy that holds only the first changes. */
        void returnFromCopy(int copiedChanges) {
            log.subList(copiedChanges, log.size()).clear();
            epoch++;
        }

        Single<PublishedBatch> changesAfter(long after, long waitMillis) {
            return Single.timer(2, TimeUnit.MILLISECONDS, scheduler)
                    .flatMap(
                            t -> {
                                if (down) {
                                    return Single.error(new IllegalStateException("down"));
                                }
                                if (after > log.size()) {
                                    return Single.error(new HistoryLostException());
                                }
                                if (after < log.size() || waitMillis <= 0) {
                                    return Single.just(
                                            new PublishedBatch(
                                                    new PublishedPosition(epoch, log.size()),
                                                    List.copyOf(
                                                            log.subList((int) after, log.size()))));
                                }
                                return changesAfter(after, waitMillis - 2);
                            });
        }
    }

    private final class Router implements PublishedSource {
        private final CatalogState catalog = new CatalogState(LEASE_MILLIS);
        private final UpstreamTable upstreams = new UpstreamTable(2_000);
        private final PublishedFollower follower;
        private int platformRequests;
        private long seenEpoch = PublishedPosition.UNKNOWN_EPOCH;
        private boolean disconnected;

        Router(String vmId, Optional<String> readerVmId) {
            PeerTransport transport = peers.add(vmId);
            follower =
                    new PublishedFollower(
                            new PeerPublishedSource(this, transport, () -> readerVmId, loop),
                            catalog,
                            upstreams,
                            loop,
                            new SplittableRandom(1),
                            new PublishedRelay(transport, loop));
        }

        @Override
        public Single<PublishedBatch> snapshot() {
            return poll(0, 0);
        }

        @Override
        public Single<PublishedBatch> changes(PublishedPosition after, long waitMillis) {
            return poll(after.revision(), waitMillis);
        }

        @Override
        public long epoch() {
            return seenEpoch;
        }

        private Single<PublishedBatch> poll(long after, long waitMillis) {
            platformRequests++;
            return disconnected
                    ? Single.error(new IllegalStateException("cut"))
                    : platform.changesAfter(after, waitMillis)
                            .doOnTerminate(() -> seenEpoch = platform.epoch);
        }

        long ageMillis() {
            return catalog.ageMillis(loop.now());
        }
    }

    RelayedPublicationTest() {
        platform.publish(version(1), upstream("a"));
        reader.follower.start();
        follower.follower.start();
        advance(2_000);
    }

    private void advance(long millis) {
        scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    private static UpstreamPut upstream(String id) {
        return new UpstreamPut(new UpstreamEntry(id, "s", "10.0.0.1:80", "d", 1, 7, false, 2_500));
    }

    private static CatalogPut version(long version) {
        ServiceRoute route =
                new ServiceRoute(
                        "r",
                        "h",
                        "/r/",
                        true,
                        RetryRule.RESUMABLE,
                        1_000,
                        200,
                        300,
                        2_400,
                        2,
                        3,
                        List.of(new ServiceShare("m", 0.25), new ServiceShare("s", 0.75)),
                        List.of(
                                new StageStep("s", List.of(), 5),
                                new StageStep("s", List.of(0), 6)),
                        true);
        return new CatalogPut(
                new Catalog(
                        version,
                        List.of(route),
                        List.of(
                                new ServiceEntry(
                                        "s",
                                        9,
                                        Optional.of(new StagePool(1, 2, 3, 4.5, 5.5, 6, 7)),
                                        Optional.empty()),
                                new ServiceEntry(
                                        "m",
                                        8,
                                        Optional.empty(),
                                        Optional.of(new EnginePool(4, 1_000)),
                                        3_000,
                                        8.8)),
                        CallerAccess.withKeys(
                                List.of(
                                        new WorkspaceEntry(
                                                "w", List.of("k", "l"), OptionalInt.of(3)),
                                        new WorkspaceEntry("v", List.of(), OptionalInt.empty()))),
                        new CallerLimits(1, 2, 3, 4)));
    }

    @Test
    void followerReceivesChangesSoonAfterItsReader() {
        platform.publish(upstream("b"), new UpstreamRemoved("a"), version(2));
        advance(400);
        assertThat(follower.catalog.current().get().version()).isEqualTo(2);
        assertThat(follower.upstreams.serving("s")).hasSize(1);
        assertThat(follower.upstreams.serving("s").get(0).entry()).isEqualTo(upstream("b").entry());
    }

    @Test
    void catalogSurvivesEncodingAndDecoding() {
        Catalog sent = version(5).catalog();
        CatalogPut received =
                (CatalogPut) PublishedCodec.decode(PublishedCodec.encode(version(5))).get();
        assertThat(received.catalog().routes()).isEqualTo(sent.routes());
        assertThat(received.catalog().services()).containsExactlyElementsIn(sent.services());
        assertThat(received.catalog().access()).isEqualTo(sent.access());
        assertThat(received.catalog().limits()).isEqualTo(sent.limits());
        Unreadable unreadable = new Unreadable("n", "why");
        assertThat(PublishedCodec.decode(PublishedCodec.encode(unreadable)).get())
                .isEqualTo(unreadable);
    }

    private static CallerAccess relayed(CallerAccess access) {
        return PublishedCodec.decode(encoded(access).build()).access();
    }

    private static PublishedCatalog.Builder encoded(CallerAccess access) {
        Catalog catalog =
                new Catalog(5, List.of(), List.of(), access, new CallerLimits(1, 2, 3, 4));
        return PublishedCodec.encode(catalog).toBuilder();
    }

    // CONFIG (review/13): routers took an empty list of workspaces for a configuration without one.
    @Test
    void aRelayedCatalogTellsAnEmptyListOfWorkspacesFromNone() {
        CallerAccess nobody = CallerAccess.withKeys(List.of());
        assertThat(relayed(nobody)).isEqualTo(nobody);
        assertThat(relayed(CallerAccess.anyCaller())).isEqualTo(CallerAccess.anyCaller());
        assertThat(relayed(CallerAccess.unknown())).isEqualTo(CallerAccess.unknown());
    }

    // CONFIG (review/13): a router that follows another one accepted any key, too.
    @Test
    void aFollowerAdmitsNobodyOnceTheLastWorkspaceIsRemoved() {
        CallerAccess nobody = CallerAccess.withKeys(List.of());
        int platformRequests = follower.platformRequests;
        platform.publish(version(2));
        advance(400);
        platform.publish(
                new CatalogPut(
                        new Catalog(
                                3, List.of(), List.of(), nobody, new CallerLimits(1, 2, 3, 4))));
        advance(400);
        assertThat(follower.catalog.current().get().version()).isEqualTo(3);
        assertThat(follower.catalog.current().get().access()).isEqualTo(nobody);
        assertThat(follower.platformRequests).isEqualTo(platformRequests);
    }

    @Test
    void aCatalogFromARouterOfAnEarlierVersionTellsThatKeysAreNeededOnlyIfItHasWorkspaces() {
        CallerAccess keys =
                CallerAccess.withKeys(
                        List.of(new WorkspaceEntry("w", List.of("k"), OptionalInt.empty())));
        assertThat(PublishedCodec.decode(encoded(keys).clearRequiresKeys().build()).access())
                .isEqualTo(keys);
        for (CallerAccess access :
                List.of(CallerAccess.anyCaller(), CallerAccess.withKeys(List.of()))) {
            assertThat(PublishedCodec.decode(encoded(access).clearRequiresKeys().build()).access())
                    .isEqualTo(CallerAccess.unknown());
        }
    }

    @Test
    void followerDoesNotCallThePlatformWhileItsReaderAnswers() {
        int before = follower.platformRequests;
        advance(60_000);
        assertThat(follower.platformRequests).isEqualTo(before);
    }

    @Test
    void confirmationOfAFollowerIsNeverYoungerThanThatOfItsReader() {
        for (int i = 0; i < 200; i++) {
            advance(37);
            assertThat(follower.ageMillis()).isAtLeast(reader.ageMillis());
            assertThat(follower.ageMillis()).isAtMost(LEASE_MILLIS);
        }
    }

    @Test
    void confirmationAgesWhileThePlatformIsDown() {
        advance(5_000);
        platform.down = true;
        advance(LEASE_MILLIS + 1);
        assertThat(follower.catalog.acceptsKeys(loop.now())).isFalse();
        assertThat(reader.catalog.acceptsKeys(loop.now())).isFalse();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void followerReadsThePlatformItselfWhenItsReaderIsUnavailable(boolean platformLinkOnly) {
        if (platformLinkOnly) {
            reader.disconnected = true;
        } else {
            peers.silence("reader");
        }
        for (int i = 0; i < 100; i++) {
            advance(100);
            assertThat(follower.catalog.acceptsKeys(loop.now())).isTrue();
        }
        platform.publish(version(9));
        advance(2_000);
        assertThat(follower.catalog.current().get().version()).isEqualTo(9);
    }

    @Test
    void routerThatReadsThroughAnotherDoesNotRelay() {
        Router third = new Router("third", Optional.of("follower"));
        third.follower.start();
        advance(10_000);
        platform.down = true;
        advance(LEASE_MILLIS + 1);
        assertThat(third.catalog.acceptsKeys(loop.now())).isFalse();
        platform.down = false;
        platform.publish(version(4));
        advance(3_000);
        assertThat(third.catalog.current().get().version()).isEqualTo(4);
        assertThat(third.platformRequests).isGreaterThan(5);
    }

    @Test
    void routersThatReadThroughEachOtherDoNotKeepKeysValid() {
        Router one = new Router("one", Optional.of("two"));
        Router two = new Router("two", Optional.of("one"));
        one.follower.start();
        two.follower.start();
        advance(100);
        platform.down = true;
        for (int i = 0; i < 50; i++) {
            advance(100);
        }
        assertThat(one.catalog.acceptsKeys(loop.now())).isFalse();
        assertThat(two.catalog.acceptsKeys(loop.now())).isFalse();
    }

    @Test
    void returnFromACopyReachesAFollowerThroughItsReader() {
        platform.publish(version(2), upstream("b"));
        advance(1_000);
        platform.returnFromCopy(2);
        advance(3_000);
        assertThat(follower.follower.position().epoch()).isEqualTo(2);
        assertThat(follower.upstreams.find("b")).isPresent();
        assertThat(follower.catalog.current().get().version()).isEqualTo(2);
        platform.publish(version(2), new UpstreamRemoved("b"));
        advance(4_000);
        assertThat(follower.upstreams.find("b")).isEmpty();
        assertThat(follower.catalog.acceptsKeys(loop.now())).isTrue();
    }

    @Test
    void followerDoesNotStepBackToAReaderOfAnEarlierEpoch() {
        Router direct = new Router("direct", Optional.of("reader"));
        platform.publish(version(2));
        advance(1_000);
        reader.disconnected = true;
        advance(1_500);
        platform.returnFromCopy(2);
        direct.follower.start();
        for (int i = 0; i < 100; i++) {
            long before = follower.follower.position().epoch();
            reader.disconnected = i % 10 < 5;
            advance(100);
            assertThat(follower.follower.position().epoch()).isAtLeast(before);
        }
        assertThat(follower.follower.position().epoch()).isEqualTo(2);
        assertThat(direct.follower.position().epoch()).isEqualTo(2);
    }

    @Test
    void aReturnFromACopyCostsAHandfulOfReads() {
        platform.publish(version(2));
        advance(1_000);
        int before = reader.platformRequests + follower.platformRequests;
        platform.returnFromCopy(2);
        platform.publish(version(2));
        advance(3_000);
        int inCalmTime = 5;
        assertThat(reader.platformRequests + follower.platformRequests - before)
                .isAtMost(inCalmTime + 8);
    }

    // In a large fleet most routers learn of an evacuation from the router that reads.
    @Test
    void evacuationsReachAFollowerThroughItsReader() {
        int before = follower.platformRequests;
        platform.publish(new DomainEvacuated("d"));
        advance(1_500);
        assertThat(follower.upstreams.serving("s")).isEmpty();
        platform.publish(new DomainReturned("d"));
        advance(1_500);
        assertThat(follower.upstreams.serving("s")).hasSize(1);
        assertThat(follower.platformRequests).isEqualTo(before);
    }

    @Test
    void evacuationsSurviveEncodingAndDecoding() {
        for (PublishedChange change :
                List.of(
                        new DomainEvacuated("d"),
                        new DomainReturned("d"),
                        new DomainEvacuated(""),
                        new DomainReturned(""))) {
            assertThat(PublishedCodec.decode(PublishedCodec.encode(change)).get())
                    .isEqualTo(change);
        }
    }
}
