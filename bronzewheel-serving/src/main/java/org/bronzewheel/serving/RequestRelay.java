package org.bronzewheel.serving;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.bronzewheel.catalog.ServiceRoute;

/**
 * The way of an answer to its caller.
 *
 * <p>A stream is passed on in whole events, so that it can go on at another upstream after any of
 * them; any other answer is passed on once it is whole.
 */
final class RequestRelay {
    private static final int MAX_BUFFERED_BYTES = 8 << 20;
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private final ServiceRoute route;
    private final CallerExchange exchange;
    private Optional<Long> lastEventId;
    private boolean begun;
    private long passedEvents;
    private UpstreamHead head;
    private EventSplitter events = new EventSplitter();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();

    RequestRelay(CallerRequest request, ServiceRoute route, CallerExchange exchange) {
        this.route = route;
        this.exchange = exchange;
        this.lastEventId = request.lastEventId();
    }

    /** Returns whether the caller has a part of the answer. */
    boolean hasBegun() {
        return begun;
    }

    /** Returns the number of events that were passed on. */
    long passedEvents() {
        return passedEvents;
    }

    /** Returns the last event that the caller has. */
    Optional<Long> resumePoint() {
        return lastEventId;
    }

    /** Begins the answer of another send; a part of an event that the last one left is dropped. */
    void head(UpstreamHead next) {
        if (!begun) {
            head = next;
        }
        events = new EventSplitter();
        body = new ByteArrayOutputStream();
    }

    private boolean streams() {
        return route.streaming() && head.isSuccess();
    }

    /** Takes a part of the body; tells whether a first event was passed on by it. */
    boolean data(byte[] bytes) {
        if (!streams()) {
            body.writeBytes(bytes);
            return false;
        }
        boolean before = begun;
        for (EventSplitter.Event event : events.take(bytes)) {
            pass(event);
        }
        return begun && !before;
    }

    /** Tells whether more of the answer waits in memory than this router keeps for a request. */
    boolean isTooLarge() {
        return body.size() > MAX_BUFFERED_BYTES
                || events.pendingBytes() > MAX_EVENT_BYTES
                || exchange.unsentBytes() > MAX_BUFFERED_BYTES;
    }

    private void pass(EventSplitter.Event event) {
        if (event.id().isPresent()) {
            long id = event.id().getAsLong();
            if (lastEventId.isPresent() && id <= lastEventId.get()) {
                return;
            }
            lastEventId = Optional.of(id);
        }
        beginStream();
        passedEvents++;
        exchange.write(event.bytes());
    }

    private void beginStream() {
        if (!begun) {
            begun = true;
            exchange.begin(head.status(), head.headers(), true);
        }
    }

    /** Tells whether the answer may end here: a stream must not end within an event. */
    boolean isWhole() {
        return !streams() || events.rest().length == 0;
    }

    /** Ends the answer as complete. */
    void finish() {
        if (streams()) {
            beginStream();
        } else {
            begun = true;
            exchange.begin(head.status(), head.headers(), false);
            exchange.write(body.toByteArray());
        }
        exchange.finish();
    }
}
