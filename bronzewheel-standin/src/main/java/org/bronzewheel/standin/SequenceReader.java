package org.bronzewheel.standin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import org.bronzewheel.request.Usage;

/** A caller that reads the stream of a sequence from a token on. */
final class SequenceReader {
    private final HttpServerResponse response;
    private final Sequence sequence;
    private final Fate fate;
    private int offset;
    private boolean closed;

    SequenceReader(HttpServerResponse response, Sequence sequence, Fate fate, int offset) {
        this.response = response;
        this.sequence = sequence;
        this.fate = fate;
        this.offset = offset;
    }

    boolean isClosed() {
        return closed || response.closed();
    }

    /** Sends what was generated since the last call. */
    void advance() {
        if (isClosed() || fate == Fate.HANG) {
            return;
        }
        List<String> tokens = sequence.generatedFrom(offset);
        if (!tokens.isEmpty()) {
            send(String.join("", tokens), tokens.size(), false);
            offset += tokens.size();
        }
        if (sequence.isEnded()) {
            end();
        }
    }

    private void end() {
        closed = true;
        boolean broken = sequence.isCancelled() || fate == Fate.BREAK_AFTER_RUN;
        if (broken) {
            response.reset();
            return;
        }
        if (fate == Fate.TRUNCATE) {
            response.end();
            return;
        }
        send("", 0, true);
        response.end("data: [DONE]\n\n");
    }

    private void send(String text, int tokens, boolean last) {
        ObjectNode event = JsonNodeFactory.instance.objectNode();
        event.put("id", sequence.echoedAttemptId());
        ObjectNode choice = event.putArray("choices").addObject();
        choice.put("index", 0);
        choice.put("text", text);
        choice.put("finish_reason", last ? sequence.finishReason() : null);
        event.put("offset", offset);
        event.put("tokens", tokens);
        if (last) {
            event.set("usage", usage(sequence.usage()));
        }
        response.write("data: " + event + "\n\n");
    }

    private static ObjectNode usage(Usage usage) {
        ObjectNode node = JsonNodeFactory.instance.objectNode();
        node.put("prompt_tokens", usage.promptTokens());
        node.put("completion_tokens", usage.completionTokens());
        node.put("worker_millis", usage.workerMillis());
        return node;
    }
}
