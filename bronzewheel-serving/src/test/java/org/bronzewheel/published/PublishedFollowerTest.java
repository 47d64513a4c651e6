package org.bronzewheel.published;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import org.bronzewheel.catalog.CallerAccess;
import org.bronzewheel.catalog.CallerLimits;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.CatalogProgress;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.loop.StallingScheduler;
import org.bronzewheel.published.PublishedChange.CatalogPut;
import org.bronzewheel.published.PublishedChange.DomainEvacuated;
import org.bronzewheel.published.PublishedChange.DomainReturned;
import org.bronzewheel.published.PublishedChange.Unreadable;
import org.bronzewheel.published.PublishedChange.UpstreamPut;
import org.bronzewheel.published.PublishedChange.UpstreamRemoved;
import org.bronzewheel.standin.VirtualPeers;
import org.bronzewheel.upstreams.ColdLimit;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PublishedFollowerTest {
    private final StallingScheduler scheduler = new StallingScheduler();
    private final Loop loop = new Loop(scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS));
    private final CatalogState catalog = new CatalogState(4_000);
    private final UpstreamTable upstreams = new UpstreamTable(2_000);
    private final List<SingleSubject<PublishedBatch>> snapshots = new ArrayList<>();
    private final List<SingleSubject<PublishedBatch>> polls = new ArrayList<>();
    private PublishedFollower follower;
    private long epoch = 1;

    @BeforeEach
    void start() {
        PublishedSource source =
                new PublishedSource() {
                    @Override
                    public Single<PublishedBatch> snapshot() {
                        return poll(snapshots);
                    }

                    @Override
                    public Single<PublishedBatch> changes(
                            PublishedPosition after, long waitMillis) {
                        return poll(polls);
                    }

                    @Override
                    public long epoch() {
                        return epoch;
                    }
                };
        PublishedRelay relay = new PublishedRelay(new VirtualPeers(scheduler).add("vm"), loop);
        follower =
                new PublishedFollower(
                        source, catalog, upstreams, loop, new SplittableRandom(1), relay);
        follower.start();
        advance(0);
    }

    private static Single<PublishedBatch> poll(List<SingleSubject<PublishedBatch>> requests) {
        SingleSubject<PublishedBatch> request = SingleSubject.create();
        requests.add(request);
        return request;
    }

    private void advance(long millis) {
        scheduler.advance(millis);
    }

    private void answer(
            List<SingleSubject<PublishedBatch>> requests,
            long revision,
            PublishedChange... changes) {
        answerFrom(epoch, requests, revision, changes);
    }

    private void answerFrom(
            long responseEpoch,
            List<SingleSubject<PublishedBatch>> requests,
            long revision,
            PublishedChange... changes) {
        requests.get(requests.size() - 1)
                .onSuccess(
                        new PublishedBatch(
                                new PublishedPosition(responseEpoch, revision), List.of(changes)));
        advance(0);
    }

    private static CatalogPut version(long version) {
        return new CatalogPut(
                new Catalog(
                        version,
                        List.of(),
                        List.of(),
                        CallerAccess.anyCaller(),
                        new CallerLimits(1, 1, 1, 1)));
    }

    private static UpstreamPut upstream(String id) {
        return new UpstreamPut(new UpstreamEntry(id, "s", "10.0.0.1:80", "d", 1, 0, false));
    }

    @Test
    void changesAreAppliedAfterTheSnapshot() {
        answer(snapshots, 5, version(1), upstream("a"));
        answer(polls, 7, upstream("b"), new UpstreamRemoved("a"), version(2));

        assertThat(catalog.current().get().version()).isEqualTo(2);
        assertThat(upstreams.serving("s")).hasSize(1);
        advance(250);
        assertThat(polls).hasSize(2);
    }

    @Test
    void changesInQuickSuccessionAreReadInBatches() {
        answer(snapshots, 5, version(1));
        for (int i = 0; i < 20; i++) {
            if (polls.get(polls.size() - 1).hasValue()) {
                advance(50);
            } else {
                answer(polls, 6 + i, upstream("u" + i));
            }
        }
        assertThat(polls.size()).isAtMost(5);
    }

    @Test
    void confirmationAgeCountsFromTheRequest() {
        answer(snapshots, 5, version(1));
        advance(1_200);
        answer(polls, 5);
        assertThat(catalog.ageMillis(loop.now())).isEqualTo(1_200);
    }

    @Test
    void lostHistoryTriggersASnapshotThatRemovesMissingUpstreams() {
        answer(snapshots, 5, version(1), upstream("a"));
        polls.get(0).onError(new HistoryLostException());
        advance(0);
        assertThat(snapshots).hasSize(2);
        answer(snapshots, 9, version(2), upstream("b"));
        assertThat(upstreams.serving("s").get(0).entry().id()).isEqualTo("b");
        assertThat(upstreams.serving("s")).hasSize(1);
    }

    @Test
    void responseOfALaggingReplicaIsIgnored() {
        answer(snapshots, 5, version(3), upstream("a"));
        answer(polls, 4, new UpstreamRemoved("a"));
        assertThat(upstreams.serving("s")).hasSize(1);
        advance(200);
        assertThat(polls).hasSize(2);
    }

    @Test
    void failuresAreRetriedWithBackoffWhileTheConfirmationAges() {
        answer(snapshots, 5, version(1));
        advance(400);
        for (int i = 0; i < 2_200; i++) {
            SingleSubject<PublishedBatch> newest = polls.get(polls.size() - 1);
            if (!newest.hasThrowable()) {
                newest.onError(new IllegalStateException("down"));
            }
            advance(10);
        }
        // 22 s at intervals of 412 to 687 ms, but for the first four, which are shorter.
        assertThat(polls.size()).isAtLeast(34);
        assertThat(polls.size()).isAtMost(56);
        assertThat(catalog.acceptsKeys(loop.now())).isFalse();
        while (polls.get(polls.size() - 1).hasThrowable()) {
            advance(10);
        }
        answer(polls, 6);
        assertThat(catalog.acceptsKeys(loop.now())).isTrue();
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void unexpectedErrorWhileApplyingAResponseDoesNotStopTheFollower(boolean overflow) {
        answer(snapshots, 5, version(1));
        boolean[] fails = {true};
        upstreams.onChange(
                () -> {
                    if (fails[0] && overflow) {
                        throw new StackOverflowError();
                    }
                    if (fails[0]) {
                        throw new IllegalStateException("unexpected");
                    }
                });
        answer(polls, 6, upstream("a"));
        fails[0] = false;
        advance(2_000);
        assertThat(snapshots).hasSize(2);
        answer(snapshots, 6, version(1), upstream("a"));
        assertThat(upstreams.serving("s")).hasSize(1);
    }

    @Test
    void returnFromACopyIsReadAsASnapshotAlsoWhereItsRevisionIsNotLower() {
        answer(snapshots, 5, version(1), upstream("a"));
        epoch = 2;
        answer(polls, 9, upstream("b"));
        assertThat(upstreams.serving("s").get(0).entry().id()).isEqualTo("a");
        advance(250);
        answer(snapshots, 4, upstream("c"));
        assertThat(upstreams.find("c")).isPresent();
        assertThat(upstreams.find("b")).isEmpty();
    }

    @Test
    void failureThatTellsANewEpochIsFollowedByASnapshot() {
        answer(snapshots, 5, version(1), upstream("a"));
        epoch = 2;
        polls.get(0).onError(new IllegalStateException("busy"));
        advance(200);
        assertThat(snapshots).hasSize(2);
    }

    @Test
    void responsesOfAnEarlierEpochAreIgnored() {
        answer(snapshots, 5, version(1), upstream("a"));
        epoch = 2;
        answerFrom(1, polls, 6, new UpstreamRemoved("a"), version(2));
        assertThat(upstreams.serving("s")).hasSize(1);
        assertThat(catalog.current().get().version()).isEqualTo(1);
        advance(200);
        answerFrom(1, snapshots, 7, version(3));
        assertThat(catalog.current().get().version()).isEqualTo(1);
    }

    @Test
    void configurationDoesNotGoBackAndIsNotConfirmedUntilItsVersionIsPublishedAgain() {
        answer(snapshots, 5, version(7));
        epoch = 2;
        polls.get(0).onError(new HistoryLostException());
        advance(250);
        answer(snapshots, 3, version(6));
        assertThat(catalog.current().get().version()).isEqualTo(7);
        for (int i = 0; i < 10; i++) {
            advance(1_000);
            answer(polls, 3);
        }
        assertThat(catalog.acceptsKeys(loop.now())).isFalse();
        answer(polls, 4, version(7));
        assertThat(catalog.acceptsKeys(loop.now())).isTrue();
    }

    // A key may have been taken away in a version that the copy lost and this router never read.
    @Test
    void copyThatMayLackAnUnreadVersionIsNoConfirmationUntilWritersHadTimeToWriteAgain() {
        answer(snapshots, 5, version(7));
        advance(700);
        epoch = 2;
        polls.get(0).onError(new HistoryLostException());
        advance(250);
        answer(snapshots, 3, version(7));
        for (int i = 0; i < 5; i++) {
            advance(350);
            answer(polls, 3);
            assertThat(catalog.ageMillis(loop.now()))
                    .isEqualTo(scheduler.now(TimeUnit.MILLISECONDS));
        }
        advance(300);
        answer(polls, 3);
        advance(50);
        answer(polls, 3);
        assertThat(catalog.ageMillis(loop.now())).isAtMost(350);
    }

    @Test
    void upstreamsThatTheCopyLacksMayRegisterAgainAndThoseThatLeftStayClosed() {
        answer(snapshots, 5, version(1), upstream("a"), upstream("b"), upstream("c"));
        answer(polls, 6, new UpstreamRemoved("b"));
        advance(250);
        epoch = 2;
        polls.get(1).onError(new HistoryLostException());
        advance(250);
        answer(snapshots, 3, version(1), upstream("b"), upstream("c"));
        assertThat(upstreams.serving("s").stream().map(u -> u.entry().id()).toList())
                .containsExactly("a", "c");
        upstreams.expire(scheduler.now(TimeUnit.MILLISECONDS) + 2_000);
        assertThat(upstreams.serving("s").stream().map(u -> u.entry().id()).toList())
                .containsExactly("c");
    }

    @Test
    void epochsThatChangeAtEachResponseAreReadWithBackoff() {
        answer(snapshots, 5, version(1));
        for (int i = 0; i < 1_000; i++) {
            epoch++;
            List<SingleSubject<PublishedBatch>> open =
                    polls.get(polls.size() - 1).hasObservers() ? polls : snapshots;
            if (!open.get(open.size() - 1).hasValue()) {
                answer(open, 5);
            }
            advance(10);
        }
        assertThat(snapshots.size() + polls.size()).isAtMost(50);
    }

    // It may have read a copy that is older than what its peers act on.
    @Test
    void routerThatHasJustStartedConfirmsNothingUntilAPeerWasHeardOrAMomentHasPassed() {
        answer(snapshots, 5, version(1));
        assertThat(catalog.acceptsKeys(loop.now())).isFalse();
        advance(399);
        assertThat(catalog.acceptsKeys(loop.now())).isFalse();
        advance(1);
        assertThat(catalog.acceptsKeys(loop.now())).isTrue();
    }

    // Guards against a wait that ends before the heartbeats in the sockets are read.
    @Test
    void routerThatStallsAtItsStartConfirmsNothingBeforeItCouldHearAPeer() {
        answer(snapshots, 5, version(1));
        scheduler.stall(600);
        assertThat(catalog.acceptsKeys(loop.now())).isFalse();
        follower.peerReported(new CatalogProgress(1, 2, 0));
        advance(1_000);
        assertThat(catalog.acceptsKeys(loop.now())).isFalse();
    }

    @Test
    void routerThatStallsAtItsStartAndHearsNoPeerConfirmsAMomentLater() {
        answer(snapshots, 5, version(1));
        scheduler.stall(600);
        advance(100);
        assertThat(catalog.acceptsKeys(loop.now())).isTrue();
    }

    @Test
    void routerThatStallsAgainAndAgainAtItsStartConfirmsAfterAFewStalls() {
        answer(snapshots, 5, version(1));
        for (int stalls = 0; stalls < 5; stalls++) {
            scheduler.stall(600);
        }
        assertThat(catalog.acceptsKeys(loop.now())).isTrue();
    }

    @Test
    void routerThatHasJustStartedConfirmsOnceItIsAsNewAsThePeerThatItHeard() {
        answer(snapshots, 5, version(1));
        follower.peerReported(new CatalogProgress(1, 2, 0));
        advance(1_000);
        assertThat(catalog.acceptsKeys(loop.now())).isFalse();
        answer(polls, 6, version(2));
        assertThat(catalog.acceptsKeys(loop.now())).isTrue();
    }

    @Test
    void settlingTimeThatAPeerReportsCountsOnlyInTheSameEpoch() {
        answer(snapshots, 5, version(1));
        follower.peerReported(new CatalogProgress(2, 1, 2_000));
        assertThat(catalog.acceptsKeys(loop.now())).isTrue();
        follower.peerReported(new CatalogProgress(1, 1, 2_000));
        advance(1_900);
        answer(polls, 5);
        assertThat(catalog.ageMillis(loop.now())).isEqualTo(1_900);
    }

    @Test
    void unreadableEntryIsNotLoggedAgainAtEachRead() {
        List<String> lines = new ArrayList<>();
        Handler handler = new RecordingHandler(lines);
        Logger published = Logger.getLogger("org.bronzewheel.published");
        published.addHandler(handler);
        try {
            UpstreamRemoved removed = new UpstreamRemoved("odd");
            answer(snapshots, 5, version(1), new Unreadable("odd", "depth"), removed);
            polls.get(0).onError(new HistoryLostException());
            advance(0);
            answer(snapshots, 6, version(1), new Unreadable("odd", "depth"), removed);
            answer(polls, 7, new Unreadable("odd", "depth"), removed);
            assertThat(lines.stream().filter(line -> line.contains("odd"))).hasSize(1);
            advance(250);
            answer(polls, 8, new Unreadable("odd", "port"), removed);
            advance(250);
            answer(polls, 9, upstream("odd"), new Unreadable("odd", "port"), removed);
            assertThat(lines.stream().filter(line -> line.contains("cannot parse"))).hasSize(3);
        } finally {
            published.removeHandler(handler);
        }
    }

    /** A handler that keeps the lines that would be logged. */
    private static final class RecordingHandler extends Handler {
        private final List<String> lines;

        RecordingHandler(List<String> lines) {
            this.lines = lines;
        }

        @Override
        public void publish(LogRecord record) {
            lines.add(new SimpleFormatter().formatMessage(record));
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    }

    // A router that starts or lost its history learns of an evacuation from the snapshot.
    @Test
    void evacuationsAreReadFromSnapshotsAndChanges() {
        answer(snapshots, 5, version(1), new DomainEvacuated("d"), upstream("a"));
        assertThat(upstreams.serving("s")).isEmpty();
        answer(polls, 6, new DomainReturned("d"));
        assertThat(upstreams.serving("s")).hasSize(1);
        advance(250);
        answer(polls, 7, new DomainEvacuated("d"));
        assertThat(upstreams.serving("s")).isEmpty();
        advance(250);
        polls.get(polls.size() - 1).onError(new HistoryLostException());
        advance(0);
        answer(snapshots, 9, version(1), upstream("a"));
        assertThat(upstreams.serving("s")).hasSize(1);
    }

    @Test
    void evacuationStaysInForceWhileThePlatformIsUnavailable() {
        answer(snapshots, 5, version(1), new DomainEvacuated("d"), upstream("a"));
        for (int i = 0; i < 20; i++) {
            polls.get(polls.size() - 1).onError(new IllegalStateException("down"));
            advance(1_000);
            upstreams.expire(scheduler.now(TimeUnit.MILLISECONDS));
            assertThat(upstreams.serving("s")).isEmpty();
        }
    }

    // A copy may lack the key, which its writer needs a moment to write again.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void evacuationThatTheCopyLacksStaysInForceUntilItsWriterHadTimeToWriteItAgain(
            boolean writtenAgain) {
        answer(snapshots, 5, version(1), new DomainEvacuated("d"), upstream("a"));
        epoch = 2;
        polls.get(0).onError(new HistoryLostException());
        advance(250);
        answer(snapshots, 3, version(1), upstream("a"));
        long returnedMillis = scheduler.now(TimeUnit.MILLISECONDS);
        upstreams.expire(returnedMillis + 1_700);
        assertThat(upstreams.serving("s")).isEmpty();
        if (writtenAgain) {
            answer(polls, 4, new DomainEvacuated("d"));
        }
        upstreams.expire(returnedMillis + 2_000);
        assertThat(upstreams.serving("s")).hasSize(writtenAgain ? 0 : 1);
    }

    private static UpstreamPut coldUpstream(String id, long remainingMillis) {
        return new UpstreamPut(
                new UpstreamEntry(id, "s", "10.0.0.1:80", "d", 1, 0, false, remainingMillis));
    }

    private long coldMillis(String id) {
        return upstreams
                .coldLimit(id, scheduler.now(TimeUnit.MILLISECONDS))
                .map(ColdLimit::remainingMillis)
                .orElse(0L);
    }

    private void limitColdUpstreams() {
        upstreams.setServices(
                name ->
                        Optional.of(
                                new ServiceEntry(
                                        name, 0, Optional.empty(), Optional.empty(), 3_000, 8.8)));
    }

    @Test
    void coldTimeIsReadFromSnapshotsAndChanges() {
        limitColdUpstreams();
        answer(snapshots, 5, version(1), coldUpstream("a", 2_000), coldUpstream("b", 0));
        assertThat(coldMillis("a")).isEqualTo(2_000);
        assertThat(coldMillis("b")).isEqualTo(0);
        advance(500);
        answer(polls, 6, coldUpstream("a", 800), coldUpstream("b", 3_000));
        assertThat(coldMillis("a")).isEqualTo(800);
        assertThat(coldMillis("b")).isEqualTo(3_000);
    }

    // An entry in a copy is older than what this router has read before.
    @Test
    void snapshotAfterAReturnFromACopyNeitherEndsNorRenewsAColdTime() {
        limitColdUpstreams();
        answer(snapshots, 5, version(1), coldUpstream("a", 0), coldUpstream("b", 2_000));
        answer(polls, 6, coldUpstream("a", 3_000));
        advance(250);
        epoch = 2;
        polls.get(polls.size() - 1).onError(new HistoryLostException());
        advance(250);
        answer(snapshots, 3, version(1), coldUpstream("a", 0), coldUpstream("b", 2_000));
        assertThat(coldMillis("a")).isEqualTo(2_500);
        assertThat(coldMillis("b")).isEqualTo(1_500);
    }

    // The entries may still say that the upstreams are warm.
    @Test
    void upstreamsOfADomainThatReturnsCountAsCold() {
        limitColdUpstreams();
        answer(
                snapshots,
                5,
                version(1),
                new DomainEvacuated("d"),
                coldUpstream("a", 0),
                coldUpstream("b", 4_000));
        answer(polls, 6, new DomainReturned("d"), coldUpstream("a", 0));
        assertThat(coldMillis("a")).isEqualTo(3_000);
        assertThat(coldMillis("b")).isEqualTo(4_000);
    }
}
