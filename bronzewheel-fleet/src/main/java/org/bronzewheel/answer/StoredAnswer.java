package org.bronzewheel.answer;

import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.RequestId;

/**
 * The end of a request, as it is kept for repeated sends.
 *
 * @param requestId the request
 * @param outcome how it ended
 * @param httpStatus the status that the caller gets
 * @param contentType the media type of the body
 * @param body the whole body that the caller gets, as text
 */
public record StoredAnswer(
        RequestId requestId, Outcome outcome, int httpStatus, String contentType, String body) {}
