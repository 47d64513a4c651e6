package org.bronzewheel.serving;

import java.util.OptionalLong;

/**
 * An answer of the system's own, without an upstream's answer.
 *
 * @param status the HTTP status; 503, 429, 408 and 421 promise that the request never runs
 * @param reason one sentence for the caller
 * @param retryAfterMillis the time after which a retry makes sense, in milliseconds
 */
public record Refusal(int status, String reason, OptionalLong retryAfterMillis) {
    /** The status of a request that cannot be read. */
    public static final int BAD_REQUEST = 400;

    /** The status of a request whose key is unknown. */
    public static final int UNAUTHORIZED = 401;

    /** The status of a request that no route takes. */
    public static final int NOT_FOUND = 404;

    /** The status of a request whose outcome at an upstream is unknown. */
    public static final int BAD_GATEWAY = 502;

    /** The status of a request that did not run and never will. */
    public static final int UNAVAILABLE = 503;

    /** The status of a request that may have run and found no answer in time. */
    public static final int GATEWAY_TIMEOUT = 504;

    static Refusal of(int status, String reason) {
        return new Refusal(status, reason, OptionalLong.empty());
    }

    static Refusal notRun(String reason, long retryAfterMillis) {
        return new Refusal(UNAVAILABLE, reason, OptionalLong.of(retryAfterMillis));
    }
}
