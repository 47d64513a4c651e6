package org.bronzewheel.traffic;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.bronzewheel.request.Outcome;

/** A reader of one reply, plain or streamed; it reports exactly one {@link Reply}. */
final class ReplyReader {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String EVENT_END = "\n\n";

    private final Vertx vertx;
    private final String router;
    private final boolean streamed;
    private final Consumer<Reply> consumer;
    private final Buffer received = Buffer.buffer();
    private final List<TokenPiece> pieces = new ArrayList<>();
    private String requestId = "";
    private JsonNode lastEvent;
    private long timer = -1;
    private boolean reported;

    ReplyReader(Vertx vertx, String router, boolean streamed, Consumer<Reply> consumer) {
        this.vertx = vertx;
        this.router = router;
        this.streamed = streamed;
        this.consumer = consumer;
    }

    void notConnected() {
        report(Reply.withoutOutcome(router, ReplyKind.NOT_CONNECTED, ""));
    }

    void broken() {
        report(Reply.withoutOutcome(router, ReplyKind.BROKEN, requestId));
    }

    void giveUpAfter(long millis, HttpClientRequest request) {
        timer =
                vertx.setTimer(
                        millis,
                        id -> {
                            report(Reply.withoutOutcome(router, ReplyKind.SILENT, requestId));
                            request.reset();
                        });
    }

    void read(HttpClientResponse response) {
        String header = response.getHeader("X-Bronzewheel-Request");
        requestId = header == null ? "" : header;
        boolean events = streamed && isEventStream(response);
        response.exceptionHandler(e -> broken());
        response.handler(
                buffer -> {
                    received.appendBuffer(buffer);
                });
        response.endHandler(end -> report(events ? streamedReply() : plainReply()));
    }

    private static boolean isEventStream(HttpClientResponse response) {
        String type = response.getHeader("Content-Type");
        return type != null && type.startsWith("text/event-stream");
    }

    private Reply plainReply() {
        return reply(parse(received.toString(StandardCharsets.UTF_8)));
    }

    private Reply streamedReply() {
        String text = received.toString(StandardCharsets.UTF_8);
        int from = 0;
        for (int end = text.indexOf(EVENT_END); end >= 0; end = text.indexOf(EVENT_END, from)) {
            takeEvent(text.substring(from, end));
            from = end + EVENT_END.length();
        }
        return lastEvent == null
                ? Reply.withoutOutcome(router, ReplyKind.COMPLETE, requestId)
                : reply(lastEvent);
    }

    private void takeEvent(String event) {
        String name = "";
        String data = "";
        for (String line : event.lines().toList()) {
            if (line.startsWith("event:")) {
                name = line.substring("event:".length()).strip();
            } else if (line.startsWith("data:")) {
                data = line.substring("data:".length()).strip();
            }
        }
        JsonNode parsed = parse(data);
        switch (name) {
            case "token" ->
                    pieces.add(
                            new TokenPiece(
                                    parsed.path("offset").asLong(-1),
                                    parsed.path("text").asText()));
            case "accepted" -> requestId = parsed.path("requestId").asText(requestId);
            case "answer", "error" -> lastEvent = parsed;
            default -> {}
        }
    }

    private Reply reply(JsonNode body) {
        return new Reply(
                router,
                ReplyKind.COMPLETE,
                outcome(body.path("outcome").asText("")),
                body.path("code").asText(""),
                body.path("requestId").asText(requestId),
                body,
                List.copyOf(pieces),
                body.path("retryAfterMillis").asLong(0));
    }

    private static Outcome outcome(String text) {
        for (Outcome outcome : Outcome.values()) {
            if (outcome.name().equals(text)) {
                return outcome;
            }
        }
        return null;
    }

    private static JsonNode parse(String text) {
        try {
            JsonNode parsed = MAPPER.readTree(text);
            return parsed == null ? MAPPER.missingNode() : parsed;
        } catch (JsonProcessingException e) {
            return MAPPER.missingNode();
        }
    }

    private void report(Reply reply) {
        synchronized (this) {
            if (reported) {
                return;
            }
            reported = true;
        }
        vertx.cancelTimer(timer);
        consumer.accept(reply);
    }
}
