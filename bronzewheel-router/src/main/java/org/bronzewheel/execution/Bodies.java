package org.bronzewheel.execution;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.bronzewheel.answer.StoredAnswer;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.RequestId;

/** The bodies that callers get. */
public final class Bodies {
    /** The media type of answers. */
    public static final String JSON = "application/json";

    /** The media type of errors (RFC 9457). */
    public static final String PROBLEM = "application/problem+json";

    private static final int OK = 200;
    private static final JsonMapper MAPPER = new JsonMapper();

    private Bodies() {}

    /**
     * Writes an error as problem details.
     *
     * @param id the request
     * @param error what went wrong; anything but a {@link BronzewheelException} is an internal
     *     error
     * @return the end of the request
     */
    public static StoredAnswer problem(RequestId id, Throwable error) {
        BronzewheelException known = known(error);
        return problem(id, known, known.outcome());
    }

    /** Returns the error with its code; anything unknown is an internal error that may have run. */
    static BronzewheelException known(Throwable error) {
        if (error instanceof BronzewheelException known) {
            return known;
        }
        return new BronzewheelException(
                ErrorCode.INTERNAL, Outcome.UNKNOWN, "an error inside the router", error);
    }

    static StoredAnswer problem(RequestId id, BronzewheelException error, Outcome outcome) {
        ErrorCode code = error.code();
        long retryAfterMillis =
                error instanceof RefusalException refusal ? refusal.retryAfterMillis() : 0;
        ObjectNode body = MAPPER.createObjectNode();
        body.put("type", "urn:bronzewheel:error:" + code);
        body.put("title", title(code));
        body.put("status", code.httpStatus());
        body.put("detail", error.getMessage());
        body.put("code", code.name());
        body.put("outcome", outcome.name());
        body.put("requestId", id.toString());
        body.put("retryAfterMillis", retryAfterMillis);
        return new StoredAnswer(id, outcome, code.httpStatus(), PROBLEM, body.toString());
    }

    static StoredAnswer answer(RequestId id, String pipeline, PipelineAnswer answer) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("requestId", id.toString());
        body.put("pipeline", pipeline);
        body.put("outcome", Outcome.ANSWERED.name());
        body.set("answer", answer.output());
        ArrayNode stages = body.putArray("stages");
        answer.stages().forEach(stage -> add(stages, stage));
        return new StoredAnswer(id, Outcome.ANSWERED, OK, JSON, body.toString());
    }

    /** Returns the generated text of an answer, empty where it has none. */
    static String text(StoredAnswer answer) {
        if (answer.outcome() != Outcome.ANSWERED) {
            return "";
        }
        try {
            return MAPPER.readTree(answer.body()).path("answer").path("text").asText("");
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the body of an answer is not JSON", e);
        }
    }

    private static void add(ArrayNode stages, StageReport report) {
        ObjectNode stage = stages.addObject();
        stage.put("name", report.name());
        stage.put("upstream", report.upstream());
        stage.put("attempts", report.attempts());
        stage.put("elapsedMillis", report.elapsedMillis());
        ObjectNode usage = stage.putObject("usage");
        usage.put("promptTokens", report.usage().promptTokens());
        usage.put("completionTokens", report.usage().completionTokens());
        usage.put("workerMillis", report.usage().workerMillis());
    }

    private static String title(ErrorCode code) {
        return code.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
    }
}
