package org.bronzewheel.answer;

import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.RequestId;

/**
 * The final response to a request, stored for retries of the request by its caller.
 *
 * @param requestId the request
 * @param outcome the outcome of the request
 * @param httpStatus the HTTP status of the response
 * @param contentType the media type of the response body
 * @param body the complete response body, as text
 */
public record StoredAnswer(
        RequestId requestId, Outcome outcome, int httpStatus, String contentType, String body) {}
