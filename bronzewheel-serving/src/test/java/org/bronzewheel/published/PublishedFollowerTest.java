package org.bronzewheel.published;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.catalog.CallerLimits;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.CatalogState;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.published.PublishedChange.CatalogPut;
import org.bronzewheel.published.PublishedChange.UpstreamPut;
import org.bronzewheel.published.PublishedChange.UpstreamRemoved;
import org.bronzewheel.standin.VirtualPeers;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PublishedFollowerTest {
    private final TestScheduler scheduler = new TestScheduler();
    private final Loop loop = new Loop(scheduler, () -> scheduler.now(TimeUnit.MILLISECONDS));
    private final CatalogState catalog = new CatalogState(4_000);
    private final UpstreamTable upstreams = new UpstreamTable(2_000);
    private final List<SingleSubject<PublishedBatch>> snapshots = new ArrayList<>();
    private final List<SingleSubject<PublishedBatch>> polls = new ArrayList<>();

    @BeforeEach
    void start() {
        PublishedSource source =
                new PublishedSource() {
                    @Override
                    public Single<PublishedBatch> snapshot() {
                        return poll(snapshots);
                    }

                    @Override
                    public Single<PublishedBatch> changes(long afterRevision, long waitMillis) {
                        return poll(polls);
                    }
                };
        PublishedRelay relay = new PublishedRelay(new VirtualPeers(scheduler).add("vm"), loop);
        new PublishedFollower(source, catalog, upstreams, loop, new SplittableRandom(1), relay)
                .start();
        advance(0);
    }

    private static Single<PublishedBatch> poll(List<SingleSubject<PublishedBatch>> requests) {
        SingleSubject<PublishedBatch> request = SingleSubject.create();
        requests.add(request);
        return request;
    }

    private void advance(long millis) {
        scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    private void answer(
            List<SingleSubject<PublishedBatch>> requests,
            long revision,
            PublishedChange... changes) {
        requests.get(requests.size() - 1).onSuccess(new PublishedBatch(revision, List.of(changes)));
        advance(0);
    }

    private static CatalogPut version(long version) {
        return new CatalogPut(
                new Catalog(
                        version, List.of(), List.of(), List.of(), new CallerLimits(1, 1, 1, 1)));
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
        for (int i = 0; i < 20; i++) {
            polls.get(polls.size() - 1).onError(new IllegalStateException("down"));
            advance(1_100);
        }
        assertThat(polls).hasSize(21);
        assertThat(catalog.acceptsKeys(loop.now())).isFalse();
        answer(polls, 6);
        assertThat(catalog.acceptsKeys(loop.now())).isTrue();
    }

    @Test
    void unexpectedErrorWhileApplyingAResponseDoesNotStopTheFollower() {
        answer(snapshots, 5, version(1));
        boolean[] fails = {true};
        upstreams.onChange(
                () -> {
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
}
