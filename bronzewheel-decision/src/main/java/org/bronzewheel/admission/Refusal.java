package org.bronzewheel.admission;

import org.bronzewheel.error.ErrorCode;

/**
 * A refusal of work that did not run; its outcome is always {@code NOT_RUN}.
 *
 * @param code {@code OVERLOADED} or {@code DEADLINE_TOO_SHORT}
 * @param detail a sentence for the caller that describes the reason
 * @param retryAfterMillis the delay after which the caller may retry, in milliseconds, 0 if a retry
 *     cannot succeed
 */
public record Refusal(ErrorCode code, String detail, long retryAfterMillis) {}
