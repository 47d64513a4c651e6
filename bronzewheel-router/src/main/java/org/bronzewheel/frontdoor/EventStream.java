package org.bronzewheel.frontdoor;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.http.HttpServerResponse;
import org.bronzewheel.answer.StoredAnswer;
import org.bronzewheel.execution.ReadResult;
import org.bronzewheel.execution.TokenPiece;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.RequestId;

/** A stream of server-sent events to one caller. */
final class EventStream {
    private static final JsonMapper MAPPER = new JsonMapper();

    private final HttpServerResponse response;

    EventStream(HttpServerResponse response) {
        this.response = response;
    }

    void open(RequestId id) {
        response.setChunked(true)
                .putHeader(Responses.REQUEST, id.toString())
                .putHeader("Content-Type", "text/event-stream")
                .putHeader("Cache-Control", "no-store");
        ObjectNode data = MAPPER.createObjectNode().put("requestId", id.toString());
        response.write("event: accepted\ndata: " + data + "\n\n");
    }

    /** Writes a result; completes once the connection has taken it. */
    Completable write(ReadResult result) {
        StringBuilder events = new StringBuilder();
        result.pieces().forEach(piece -> append(events, piece));
        if (result.ended()) {
            append(events, result.answer());
        }
        if (events.length() == 0 || response.closed()) {
            return Completable.complete();
        }
        return Completable.create(
                emitter ->
                        response.write(events.toString())
                                .onSuccess(written -> emitter.onComplete())
                                .onFailure(emitter::tryOnError));
    }

    void fail(StoredAnswer problem) {
        if (response.ended() || response.closed()) {
            return;
        }
        StringBuilder event = new StringBuilder();
        append(event, problem);
        response.end(event.toString());
    }

    void end() {
        if (!response.ended() && !response.closed()) {
            response.end();
        }
    }

    private static void append(StringBuilder events, TokenPiece piece) {
        ObjectNode data = MAPPER.createObjectNode();
        data.put("offset", piece.offset());
        data.put("text", piece.text());
        events.append("event: token\nid: ").append(piece.offset());
        events.append("\ndata: ").append(data).append("\n\n");
    }

    private static void append(StringBuilder events, StoredAnswer answer) {
        String name = answer.outcome() == Outcome.ANSWERED ? "answer" : "error";
        events.append("event: ").append(name);
        events.append("\ndata: ").append(answer.body()).append("\n\n");
    }
}
