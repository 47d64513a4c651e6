package org.bronzewheel.serving;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.bronzewheel.catalog.ServiceRoute;

/**
 * Forwards a response to its caller.
 *
 * <p>A stream is forwarded in complete events, so that it can be resumed at another upstream after
 * any of them; any other response is forwarded once it is complete.
 */
final class ResponseRelay {
    private static final int MAX_BUFFERED_BYTES = 8 << 20;
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final ServiceRoute route;
    private final CallerExchange exchange;
    private Optional<Long> lastEventId;
    private boolean started;
    private boolean resumable = true;
    private boolean awaitingContinuation;
    private boolean discontinuous;
    private long forwardedEvents;
    private UpstreamHead head;
    private EventSplitter events = new EventSplitter();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();

    ResponseRelay(CallerRequest request, ServiceRoute route, CallerExchange exchange) {
        this.route = route;
        this.exchange = exchange;
        this.lastEventId = request.lastEventId();
    }

    /** Returns whether a part of the response was forwarded. */
    boolean hasStarted() {
        return started;
    }

    /** Returns the number of forwarded events. */
    long forwardedEvents() {
        return forwardedEvents;
    }

    /** Returns whether another attempt could go on after the last event the caller has received. */
    boolean isResumable() {
        return resumable;
    }

    /** Returns the id of the last event the caller has received. */
    Optional<Long> resumeAfter() {
        return lastEventId;
    }

    /**
     * Returns whether a response can provide the rest of the one that was started, as far as its
     * head shows.
     */
    boolean canContinueWith(UpstreamHead next) {
        return !started
                || (next.status() == head.status() && next.mediaType().equals(head.mediaType()));
    }

    /** Starts the response of another attempt and drops an incomplete event of the previous one. */
    void head(UpstreamHead next) {
        if (!started) {
            head = next;
        }
        awaitingContinuation = started;
        discontinuous = false;
        events = new EventSplitter();
        body = new ByteArrayOutputStream();
    }

    private boolean isStreaming() {
        return route.streaming() && head.isSuccess();
    }

    /** Adds a part of the body; returns whether it caused the first event to be forwarded. */
    boolean data(byte[] bytes) {
        if (!isStreaming()) {
            body.writeBytes(bytes);
            return false;
        }
        boolean startedBefore = started;
        for (EventSplitter.Event event : events.append(bytes)) {
            if (!discontinuous) {
                forward(event);
            }
        }
        return started && !startedBefore;
    }

    /** Returns whether more of the response is buffered than this router allows per request. */
    boolean isTooLarge() {
        return body.size() > MAX_BUFFERED_BYTES
                || events.pendingBytes() > MAX_EVENT_BYTES
                || exchange.unsentBytes() > MAX_BUFFERED_BYTES;
    }

    /** Returns the memory that the response occupies, in bytes. Buffers grow by doubling. */
    long occupiedBytes() {
        return 2L * (body.size() + events.pendingBytes()) + exchange.unsentBytes();
    }

    /** Returns whether a resumed response has sent an event that has no place in the stream. */
    boolean isDiscontinuous() {
        return discontinuous;
    }

    private void forward(EventSplitter.Event event) {
        if (event.id().isPresent()) {
            long id = event.id().getAsLong();
            if (lastEventId.isPresent() && id <= lastEventId.get()) {
                return;
            }
            lastEventId = Optional.of(id);
            resumable = true;
            awaitingContinuation = false;
        } else if (!event.isComment()) {
            discontinuous = awaitingContinuation;
            if (discontinuous) {
                return;
            }
            resumable = false;
        }
        beginStream();
        forwardedEvents++;
        exchange.write(event.bytes());
    }

    private void beginStream() {
        if (!started) {
            started = true;
            exchange.begin(head.status(), head.headers(), true);
        }
    }

    /**
     * Returns whether the response may end here: a stream must not end before its first event or
     * within an event, nor may a resumed one end without a further event.
     */
    boolean isComplete() {
        return !isStreaming()
                || ((started || lastEventId.isPresent())
                        && !awaitingContinuation
                        && !events.isWithinEvent());
    }

    /** Returns the status and origin of the head that was forwarded, for log lines. */
    String describeForwarded() {
        return "status " + head.status() + " " + head.describeOrigin();
    }

    /** Completes the response. */
    void finish() {
        if (isStreaming()) {
            beginStream();
            if (events.pendingBytes() > 0) {
                exchange.write(events.pending());
            }
        } else {
            started = true;
            exchange.begin(head.status(), head.headers(), false);
            exchange.write(body.toByteArray());
        }
        exchange.finish();
    }
}
