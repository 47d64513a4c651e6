package org.bronzewheel.execution;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.bronzewheel.answer.AnswerService;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.membership.Member;
import org.bronzewheel.membership.MemberHealth;
import org.bronzewheel.membership.MembershipService;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.RequestId;

/**
 * A reader of requests wherever they are held: here, at the peer that the request id names, or,
 * where that peer is gone, among the copies of answers.
 */
final class RequestReader {
    private static final long WAIT_MILLIS = 5_000;
    private static final long FIND_MILLIS = 1_000;
    private static final long RETRY_DELAY_MILLIS = 200;
    private static final int MAX_FAILURES_IN_ROW = 3;

    private final RequestTable table;
    private final PeerRequests peers;
    private final AnswerService answers;
    private final MembershipService membership;
    private final Scheduler scheduler;

    RequestReader(
            RequestTable table,
            PeerRequests peers,
            AnswerService answers,
            MembershipService membership,
            Scheduler scheduler) {
        this.table = table;
        this.peers = peers;
        this.answers = answers;
        this.membership = membership;
        this.scheduler = scheduler;
    }

    /**
     * Reads once.
     *
     * @return what there is, or an error: UNKNOWN_REQUEST where nobody knows the request,
     *     PEER_UNREACHABLE where its holder could not be asked and no copy was found
     */
    Single<ReadResult> read(RequestId id, long offset, long waitMillis) {
        if (table.isOwn(id)) {
            return table.find(id)
                    .map(held -> held.read(offset, waitMillis, scheduler))
                    .orElseGet(() -> findCopy(id));
        }
        return peers.read(id, offset, waitMillis)
                .flatMap(read -> read.map(Single::just).orElseGet(() -> findCopy(id)))
                .onErrorResumeNext(error -> readCopyAfter(id, error));
    }

    /**
     * Reads on until the end; the last result has the answer and, for a reader of the text from its
     * begin, what the text still lacks of it.
     */
    Flowable<ReadResult> follow(RequestId id, long offset) {
        return Flowable.defer(
                () -> {
                    AtomicLong next = new AtomicLong(offset);
                    AtomicInteger failures = new AtomicInteger();
                    FollowedText text = new FollowedText();
                    return Single.defer(() -> read(id, next.get(), WAIT_MILLIS))
                            .doOnSuccess(
                                    result -> {
                                        failures.set(0);
                                        next.set(result.nextOffset(next.get()));
                                    })
                            .retryWhen(errors -> errors.flatMap(e -> pause(id, failures, e)))
                            .repeat()
                            .takeUntil(ReadResult::ended)
                            .map(result -> offset == 0 ? text.complete(result) : result);
                });
    }

    /** Waits before the holder is asked again, or gives up. */
    private Flowable<Long> pause(RequestId id, AtomicInteger failures, Throwable error) {
        boolean unreachable =
                error instanceof BronzewheelException known
                        && known.code() == ErrorCode.PEER_UNREACHABLE;
        boolean again = isAlive(id) || failures.incrementAndGet() < MAX_FAILURES_IN_ROW;
        if (unreachable && again) {
            return Flowable.timer(RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS, scheduler);
        }
        return Flowable.error(error);
    }

    /** Tells whether the process that holds a request is seen to work. */
    private boolean isAlive(RequestId id) {
        Optional<Member> member = membership.current().find(id.vmId());
        return member.isPresent()
                && member.get().health() != MemberHealth.SUSPECT
                && member.get().incarnation() == id.incarnation();
    }

    private Single<ReadResult> findCopy(RequestId id) {
        return findCopy(id, RequestService.unknown(id));
    }

    private Single<ReadResult> readCopyAfter(RequestId id, Throwable error) {
        boolean alreadyAsked =
                error instanceof BronzewheelException known
                        && known.code() == ErrorCode.UNKNOWN_REQUEST;
        if (alreadyAsked) {
            return Single.error(error);
        }
        return findCopy(
                id,
                new BronzewheelException(
                        ErrorCode.PEER_UNREACHABLE,
                        Outcome.UNKNOWN,
                        "the router that holds the request cannot be reached",
                        error));
    }

    private Single<ReadResult> findCopy(RequestId id, BronzewheelException otherwise) {
        return answers.find(id, FIND_MILLIS)
                .map(answer -> new ReadResult(java.util.List.of(), answer))
                .switchIfEmpty(Single.error(otherwise));
    }
}
