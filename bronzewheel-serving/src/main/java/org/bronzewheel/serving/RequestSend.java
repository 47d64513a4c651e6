package org.bronzewheel.serving;

import io.reactivex.rxjava3.disposables.Disposable;
import org.bronzewheel.catalog.RepeatRule;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.serving.RequestObserver.Decision;
import org.bronzewheel.upstreams.Upstream;

/** One send of a request to one upstream: judges its answer and its silence. */
final class RequestSend implements UpstreamListener {
    private static final int SERVER_ERROR = 500;
    private static final long CHECK_MILLIS = 100;
    private static final long SILENT_STREAM_MILLIS = 700;
    private static final long SILENT_ENGINE_MILLIS = 1_000;
    private static final long BUSY_ENGINE_MILLIS = 4_000;
    private static final long SILENT_PLAIN_MILLIS = 400;
    private static final double SILENT_PLAIN_FACTOR = 4;
    private static final int BUSY_PLAIN_FACTOR = 3;

    private final RequestRun run;
    private final ServingContext parts;
    private final Loop loop;
    private final String service;
    private final Upstream upstream;
    private final boolean engine;
    private final int promptTokens;
    private final long sentMillis;
    private long heardMillis;
    private UpstreamHead head;
    private boolean promptRead;
    private boolean silenceBooked;
    private boolean ended;
    private Disposable call = Disposable.disposed();
    private Disposable check = Disposable.disposed();

    RequestSend(RequestRun run, String service, Upstream upstream, boolean engine) {
        this.run = run;
        this.parts = run.parts();
        this.loop = parts.loop();
        this.service = service;
        this.upstream = upstream;
        this.engine = engine;
        this.promptTokens = run.request().promptTokens();
        this.sentMillis = loop.nowMillis();
        this.heardMillis = sentMillis;
    }

    void start(UpstreamCall request) {
        upstream.callStarted(promptTokens);
        upstream.requestSent(sentMillis);
        if (engine) {
            run.engineWaits().sent(service, run.route().priority(), sentMillis);
        }
        call = parts.upstreamClient().send(request, this);
        if (run.route().repeatRule() != RepeatRule.AT_MOST_ONCE) {
            check = loop.every(CHECK_MILLIS, this::checkSilence);
        }
    }

    /** Ends the send at the upstream. */
    void cancel() {
        if (end()) {
            call.dispose();
        }
    }

    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        check.dispose();
        upstream.callEnded(promptRead ? 0 : promptTokens);
        if (engine && !promptRead) {
            run.engineWaits().ended(service, run.route().priority(), false, loop.nowMillis());
        }
        run.sendEnded();
        return true;
    }

    private void heard() {
        heardMillis = loop.nowMillis();
        upstream.bytesReceived(heardMillis);
    }

    @Override
    public void onHead(UpstreamHead next) {
        if (ended) {
            return;
        }
        heard();
        head = next;
        if (next.misdirected()) {
            upstream.markMisdirected();
        }
        if (next.neverRan()) {
            cancel();
            run.rejected(next.status());
        } else if (next.isSuccess() && (!next.signed() || next.encoded())) {
            reject("a success without the upstream's signature");
        } else if (!next.isSuccess() && (run.relay().hasBegun() || mustNotPass(next))) {
            reject("status " + next.status());
        } else if (next.status() >= SERVER_ERROR && isFailover(next)) {
            return;
        } else {
            run.relay().head(next);
        }
    }

    /** Tells whether a failure would say more to the caller than the upstream promised. */
    private static boolean mustNotPass(UpstreamHead head) {
        return !head.signed()
                || switch (head.status()) {
                    case 408, 421, 429, 503 -> true;
                    default -> false;
                };
    }

    private boolean isFailover(UpstreamHead failure) {
        if (run.route().repeatRule() != RepeatRule.IDEMPOTENT) {
            return false;
        }
        if (!run.failed("status " + failure.status())) {
            return false;
        }
        run.health(upstream, service, false);
        cancel();
        return true;
    }

    /** Gives the answer up; the request may have run. */
    private void reject(String reason) {
        parts.observer().decided(run.request().id(), Decision.ANSWER_REJECTED, reason);
        broken(reason);
    }

    private void broken(String reason) {
        cancel();
        run.health(upstream, service, true);
        if (!run.failed(reason)) {
            run.giveUp(reason);
        }
    }

    @Override
    public void onData(byte[] bytes) {
        if (ended) {
            return;
        }
        upstream.bytesReceived(loop.nowMillis());
        long passedBefore = run.relay().passedEvents();
        boolean first = run.relay().data(bytes);
        // Bytes of a stream that complete no event are no progress.
        if (!run.route().streaming() || run.relay().passedEvents() > passedBefore) {
            heardMillis = loop.nowMillis();
        }
        if (!promptRead && engine && (first || run.relay().hasBegun())) {
            promptBegun();
            run.inputsRead();
        }
        if (run.relay().isTooLarge()) {
            reject("the answer is too large");
        }
    }

    /** The engine has read the prompt and begun its answer. */
    private void promptBegun() {
        promptRead = true;
        upstream.promptTokensRead(promptTokens);
        run.engineWaits().ended(service, run.route().priority(), true, loop.nowMillis());
    }

    @Override
    public void onEnd() {
        if (ended) {
            return;
        }
        heard();
        if (!run.relay().isWhole()) {
            broken("the stream ends within an event");
            return;
        }
        if (head.status() >= SERVER_ERROR) {
            run.health(upstream, service, false);
        } else {
            upstream.recordSuccess((double) (heardMillis - sentMillis));
        }
        run.relay().finish();
        if (engine && !promptRead) {
            promptBegun();
        }
        end();
        run.answered(head.status());
    }

    @Override
    public void onFailure(CallFailure failure, String reason) {
        if (ended) {
            return;
        }
        end();
        switch (failure) {
            case NOT_SENT -> {
                run.health(upstream, service, true);
                run.rejected(RequestRun.NOT_SENT);
            }
            case WITHHELD -> run.rejected(RequestRun.NOT_SENT);
            case BROKEN -> broken(reason);
        }
    }

    /** Moves a request that may go on elsewhere away from an upstream that says nothing. */
    private void checkSilence() {
        if (ended) {
            return;
        }
        long nowMillis = loop.nowMillis();
        boolean silentToAll = nowMillis - upstream.lastReceivedMillis(sentMillis) > silenceMillis();
        boolean silentToThis = nowMillis - heardMillis > busyMillis();
        if (!silentToAll && !silentToThis) {
            return;
        }
        if (run.mayGoElsewhere()) {
            broken("silent for " + (nowMillis - heardMillis) + " ms");
        } else if (!silenceBooked) {
            silenceBooked = true;
            run.health(upstream, service, true);
        }
    }

    private long silenceMillis() {
        if (run.relay().hasBegun()) {
            return SILENT_STREAM_MILLIS;
        }
        return engine ? SILENT_ENGINE_MILLIS : plainMillis();
    }

    private long busyMillis() {
        if (run.relay().hasBegun()) {
            return 2 * SILENT_STREAM_MILLIS;
        }
        return engine ? BUSY_ENGINE_MILLIS : BUSY_PLAIN_FACTOR * plainMillis();
    }

    private long plainMillis() {
        return Math.max(
                SILENT_PLAIN_MILLIS, Math.round(SILENT_PLAIN_FACTOR * upstream.millisPerCall()));
    }
}
