package org.bronzewheel.traffic;

import io.reactivex.rxjava3.core.Observable;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bronzewheel.request.Outcome;

/**
 * A sender of planned requests at their planned times, whatever became of earlier ones.
 *
 * <p>Callers behave as behind the platform's balancer: a send that was refused goes to another
 * router while time is left; one whose connection broke does so only where a second run does no
 * harm or a key prevents it.
 */
public final class LoadRunner {
    private static final int MAX_SENDS = 5;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long RETRY_PAUSE_MILLIS = 20;

    private final RouterCaller caller;
    private final Balancer balancer;
    private final Consumer<RequestResult> progress;

    /**
     * Creates a sender.
     *
     * @param caller sends
     * @param balancer chooses the router of each send
     * @param progress told of each result
     */
    public LoadRunner(RouterCaller caller, Balancer balancer, Consumer<RequestResult> progress) {
        this.caller = caller;
        this.balancer = balancer;
        this.progress = progress;
    }

    /**
     * Sends all requests.
     *
     * @param requests the requests in order of their times
     * @return the results in order of the requests, once all have ended
     */
    public Single<List<RequestResult>> run(List<PlannedRequest> requests) {
        long beganNanos = System.nanoTime();
        return Observable.fromIterable(requests)
                .concatMapEager(r -> sendAt(r, beganNanos).toObservable(), Integer.MAX_VALUE, 1)
                .toList();
    }

    private Single<RequestResult> sendAt(PlannedRequest request, long beganNanos) {
        long plannedNanos = beganNanos + request.atMillis() * NANOS_PER_MILLI;
        long waitNanos = Math.max(0, plannedNanos - System.nanoTime());
        return Single.timer(waitNanos, TimeUnit.NANOSECONDS)
                .flatMap(tick -> sendOnceOrTwice(request, plannedNanos))
                .doOnSuccess(progress::accept);
    }

    private Single<RequestResult> sendOnceOrTwice(PlannedRequest request, long plannedNanos) {
        String first = balancer.next(List.of());
        Single<SendLine> line = sendLine(request, plannedNanos, first, new ArrayList<>());
        if (!request.sentTwice()) {
            return line.map(only -> new RequestResult(request, List.of(only)));
        }
        String second = balancer.next(List.of(first));
        return line.zipWith(
                sendLine(request, plannedNanos, second, new ArrayList<>()),
                (a, b) -> new RequestResult(request, List.of(a, b)));
    }

    private Single<SendLine> sendLine(
            PlannedRequest request, long plannedNanos, String router, List<Reply> replies) {
        return caller.send(router, request)
                .flatMap(
                        reply -> {
                            replies.add(reply);
                            long latencyMillis =
                                    (System.nanoTime() - plannedNanos) / NANOS_PER_MILLI;
                            if (!isSentAgain(request, replies, latencyMillis)) {
                                return Single.just(
                                        new SendLine(List.copyOf(replies), latencyMillis));
                            }
                            long pauseMillis =
                                    Math.max(RETRY_PAUSE_MILLIS, reply.retryAfterMillis());
                            return Single.timer(pauseMillis, TimeUnit.MILLISECONDS)
                                    .flatMap(
                                            tick ->
                                                    sendLine(
                                                            request,
                                                            plannedNanos,
                                                            balancer.next(tried(replies)),
                                                            replies));
                        });
    }

    private static boolean isSentAgain(
            PlannedRequest request, List<Reply> replies, long latencyMillis) {
        if (replies.size() >= MAX_SENDS) {
            return false;
        }
        Reply reply = replies.get(replies.size() - 1);
        return switch (reply.kind()) {
            case NOT_CONNECTED -> true;
            case BROKEN -> request.mayBeSentAgain();
            case SILENT -> false;
            case COMPLETE ->
                    reply.retryAfterMillis() > 0
                            && (reply.outcome() == Outcome.NOT_RUN || request.mayBeSentAgain())
                            && latencyMillis + reply.retryAfterMillis() < request.deadlineMillis();
        };
    }

    private static List<String> tried(List<Reply> replies) {
        return replies.stream().map(Reply::router).toList();
    }
}
