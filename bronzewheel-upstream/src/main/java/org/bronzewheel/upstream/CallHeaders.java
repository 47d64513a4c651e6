package org.bronzewheel.upstream;

import java.util.LinkedHashMap;
import java.util.Map;

/** The headers that go with attempts. */
final class CallHeaders {
    static final String ATTEMPT = "X-Bronzewheel-Attempt";
    static final String LEAVING = "X-Bronzewheel-Leaving";
    private static final String WORKSPACE = "X-Bronzewheel-Workspace";
    private static final String PRIORITY = "X-Bronzewheel-Priority";
    private static final String DEADLINE_MILLIS = "X-Bronzewheel-Deadline-Millis";
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    private CallHeaders() {}

    /** Returns the headers of an attempt; asks its permit, which may refuse by an exception. */
    static Map<String, String> of(StageCall call) {
        Map<String, String> headers = new LinkedHashMap<>(call.headers());
        headers.put("Content-Type", "application/json");
        headers.put(ATTEMPT, call.attemptId().toString());
        headers.put(WORKSPACE, call.workspace());
        headers.put(PRIORITY, Integer.toString(call.priority()));
        if (!call.idempotencyKey().isEmpty()) {
            headers.put(IDEMPOTENCY_KEY, call.idempotencyKey());
        }
        headers.put(DEADLINE_MILLIS, Long.toString(call.permit().remainingMillis()));
        return headers;
    }
}
