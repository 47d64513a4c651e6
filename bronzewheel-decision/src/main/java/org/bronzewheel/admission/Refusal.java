package org.bronzewheel.admission;

import org.bronzewheel.error.ErrorCode;

/**
 * A refusal of work that did not run; its outcome is always {@code NOT_RUN}.
 *
 * @param code {@code OVERLOADED} or {@code DEADLINE_TOO_SHORT}
 * @param detail one sentence for the caller
 * @param retryAfterMillis when the caller may try again, in milliseconds, 0 where that cannot help
 */
public record Refusal(ErrorCode code, String detail, long retryAfterMillis) {}
