package org.bronzewheel.frontdoor;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.execution.PipelineRequest;
import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.telemetry.Tracing;

/** A parser of callers' requests, which takes a request whole or refuses it. */
final class RequestParser {
    static final String WORKSPACE = "X-Bronzewheel-Workspace";
    static final String CLASS = "X-Bronzewheel-Class";
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private static final String INPUT = "input";
    private static final String EVENT_STREAM = "text/event-stream";
    private static final JsonMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .build();

    private final Tracing tracing;

    RequestParser(Tracing tracing) {
        this.tracing = tracing;
    }

    /**
     * Parses a request.
     *
     * @throws BronzewheelException with code MALFORMED_REQUEST
     */
    PipelineRequest parse(String pipeline, MultiMap headers, Buffer body) {
        return new PipelineRequest(
                pipeline,
                required(headers, CLASS),
                required(headers, WORKSPACE),
                idempotencyKey(headers),
                input(body),
                wantsStream(headers),
                tracing.extract(headers::get));
    }

    private static String required(MultiMap headers, String name) {
        List<String> values = headers.getAll(name);
        if (values.size() != 1 || values.get(0).isBlank()) {
            throw malformed("header " + name + " is required once");
        }
        return values.get(0);
    }

    private static String idempotencyKey(MultiMap headers) {
        List<String> values = headers.getAll(IDEMPOTENCY_KEY);
        if (values.isEmpty()) {
            return "";
        }
        if (values.size() > 1 || !IdempotencyKey.isValid(values.get(0))) {
            throw malformed(
                    "header "
                            + IDEMPOTENCY_KEY
                            + " takes one value of 1 to 128 printable characters");
        }
        return values.get(0);
    }

    private static boolean wantsStream(MultiMap headers) {
        String accept = headers.get("Accept");
        return accept != null && accept.toLowerCase(Locale.ROOT).contains(EVENT_STREAM);
    }

    private static JsonNode input(Buffer body) {
        JsonNode json;
        try {
            json = MAPPER.readTree(body.getBytes());
        } catch (IOException e) {
            throw malformed("the body is not one JSON value");
        }
        if (json == null || !json.isObject() || !json.has(INPUT)) {
            throw malformed("the body is not an object with the field input");
        }
        if (json.size() > 1) {
            throw malformed("the body has fields other than input");
        }
        return json.get(INPUT);
    }

    private static BronzewheelException malformed(String detail) {
        return new BronzewheelException(ErrorCode.MALFORMED_REQUEST, detail);
    }
}
