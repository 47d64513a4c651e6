package org.bronzewheel.serving;

import java.util.OptionalLong;

/**
 * A response of the router's own, sent instead of an upstream's response.
 *
 * @param status the HTTP status; 503, 429, 408 and 421 guarantee that the request never runs
 * @param reason one sentence for the caller
 * @param retryAfterMillis the delay before a retry is worthwhile, in milliseconds
 */
public record Refusal(int status, String reason, OptionalLong retryAfterMillis) {
    /** The status of a malformed request. */
    public static final int BAD_REQUEST = 400;

    /** The status of a request with an unknown API key. */
    public static final int UNAUTHORIZED = 401;

    /** The status of a request that matches no route. */
    public static final int NOT_FOUND = 404;

    /** The status of a request whose outcome at an upstream is unknown. */
    public static final int BAD_GATEWAY = 502;

    /** The status of a request that did not run and never will. */
    public static final int UNAVAILABLE = 503;

    /** The status of a request that may have run but got no response in time. */
    public static final int GATEWAY_TIMEOUT = 504;

    static Refusal of(int status, String reason) {
        return new Refusal(status, reason, OptionalLong.empty());
    }

    static Refusal notRun(String reason, long retryAfterMillis) {
        return new Refusal(UNAVAILABLE, reason, OptionalLong.of(retryAfterMillis));
    }
}
