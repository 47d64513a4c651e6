package org.bronzewheel.standin;

import io.vertx.core.http.HttpServerRequest;

/**
 * What the headers of a stage call say.
 *
 * @param attemptId the attempt, empty for none
 * @param workspace the workspace of the caller
 * @param priority the order of service, 0 first
 * @param idempotencyKey the key, empty for none
 */
record CallHeaders(String attemptId, String workspace, int priority, String idempotencyKey) {
    static final String ATTEMPT = "X-Bronzewheel-Attempt";
    static final String LEAVING = "X-Bronzewheel-Leaving";

    static CallHeaders of(HttpServerRequest request) {
        return new CallHeaders(
                text(request, ATTEMPT),
                text(request, "X-Bronzewheel-Workspace"),
                Integer.parseInt("0" + text(request, "X-Bronzewheel-Priority")),
                text(request, "Idempotency-Key"));
    }

    /** Returns the part of the attempt id that names the request. */
    String requestId() {
        int end = attemptId.indexOf('/');
        return end < 0 ? attemptId : attemptId.substring(0, end);
    }

    private static String text(HttpServerRequest request, String name) {
        String value = request.getHeader(name);
        return value == null ? "" : value;
    }
}
