package org.bronzewheel.frontdoor;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vertx.core.http.HttpServerResponse;
import org.bronzewheel.answer.StoredAnswer;
import org.bronzewheel.execution.Bodies;
import org.bronzewheel.request.RequestId;

/** The responses to callers. */
final class Responses {
    static final String REQUEST = "X-Bronzewheel-Request";

    private static final String CONTENT_TYPE = "Content-Type";
    private static final String RETRY_AFTER = "Retry-After";
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final JsonMapper MAPPER = new JsonMapper();

    private Responses() {}

    static void end(HttpServerResponse response, StoredAnswer answer) {
        if (response.ended() || response.closed()) {
            return;
        }
        long retryAfterMillis = retryAfterMillis(answer);
        if (retryAfterMillis > 0) {
            long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.putHeader(RETRY_AFTER, Long.toString(seconds));
        }
        response.setStatusCode(answer.httpStatus())
                .putHeader(REQUEST, answer.requestId().toString())
                .putHeader(CONTENT_TYPE, answer.contentType())
                .end(answer.body());
    }

    static void problem(HttpServerResponse response, RequestId id, Throwable error) {
        end(response, Bodies.problem(id, error));
    }

    static void json(HttpServerResponse response, int status, String body) {
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(status).putHeader(CONTENT_TYPE, Bodies.JSON).end(body);
    }

    private static long retryAfterMillis(StoredAnswer answer) {
        if (!answer.contentType().equals(Bodies.PROBLEM)) {
            return 0;
        }
        try {
            return MAPPER.readTree(answer.body()).path("retryAfterMillis").asLong();
        } catch (JsonProcessingException e) {
            return 0;
        }
    }
}
