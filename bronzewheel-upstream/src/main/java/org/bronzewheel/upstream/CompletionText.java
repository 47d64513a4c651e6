package org.bronzewheel.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.bronzewheel.request.Usage;

/** The text of one completion, put together from pieces in the order of their offsets. */
final class CompletionText {
    private static final String DONE = "[DONE]";

    private final StageCall call;
    private final int maxChars;
    private final TokenListener listener;
    private final StringBuilder text = new StringBuilder();
    private long nextOffset;
    private boolean counted = true;
    private boolean finished;
    private boolean whole;
    private Usage usage = Usage.NONE;

    CompletionText(StageCall call, int maxChars, TokenListener listener) {
        this.call = call;
        this.maxChars = maxChars;
        this.listener = listener;
    }

    /** What to do after an event. */
    enum Progress {
        /** Read on. */
        CONTINUE,
        /** Tokens are missing: resume at the next offset. */
        GAP,
        /** The completion is whole. */
        WHOLE
    }

    Progress accept(String event) {
        if (event.equals(DONE)) {
            if (!finished) {
                throw Failures.invalid(call, "its stream ends before a finish reason", null);
            }
            whole = true;
            return Progress.WHOLE;
        }
        return accept(parse(event));
    }

    /** Tells whether the offset to resume at is known. */
    boolean canResume() {
        return counted;
    }

    long nextOffset() {
        return nextOffset;
    }

    StageAnswer answer(boolean leaving) {
        if (!whole) {
            throw new IllegalStateException("the completion is not whole");
        }
        ObjectNode output = Json.object().put("text", text.toString());
        return new StageAnswer(call.attemptId(), output, usage, leaving);
    }

    private Progress accept(JsonNode event) {
        if (!event.path("id").asText().equals(call.attemptId().toString())) {
            throw Failures.invalid(call, "its stream belongs to another attempt", null);
        }
        JsonNode choice = event.path("choices").path(0);
        String piece = choice.path("text").asText("");
        long offset = event.path("offset").asLong(-1);
        if (offset < 0) {
            throw Failures.invalid(call, "an event has no offset", null);
        }
        if (offset > nextOffset && counted) {
            return Progress.GAP;
        }
        if (offset >= nextOffset && !piece.isEmpty()) {
            append(offset, piece, event.path("tokens").asLong(0));
        }
        if (choice.path("finish_reason").isTextual()) {
            finished = true;
            usage =
                    Json.usage(
                            event.path("usage"),
                            "prompt_tokens",
                            "completion_tokens",
                            "worker_millis");
        }
        return Progress.CONTINUE;
    }

    /** Appends a piece; one that does not tell its number of tokens holds at least one. */
    private void append(long offset, String piece, long tokens) {
        if (text.length() + piece.length() > maxChars) {
            throw Failures.invalid(call, "it exceeds the largest answer", null);
        }
        text.append(piece);
        counted = tokens > 0;
        nextOffset = offset + Math.max(1, tokens);
        listener.token(offset, nextOffset - offset, piece);
    }

    private JsonNode parse(String event) {
        try {
            return Json.MAPPER.readTree(event);
        } catch (IOException e) {
            throw Failures.invalid(call, "an event is not JSON", e);
        }
    }
}
