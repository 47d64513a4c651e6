package org.bronzewheel.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.List;
import org.bronzewheel.request.Outcome;

/**
 * What one send of a request brought its caller.
 *
 * @param router the address of the router
 * @param kind how far it got
 * @param outcome the outcome in the reply, or null where none arrived
 * @param code the error code in the reply, empty for none
 * @param requestId the request id that the router gave, empty for none
 * @param body the whole body, missing where none arrived
 * @param pieces the pieces of a stream, in order of arrival
 * @param retryAfterMillis when a further attempt makes sense, in milliseconds, 0 for never
 */
public record Reply(
        String router,
        ReplyKind kind,
        Outcome outcome,
        String code,
        String requestId,
        JsonNode body,
        List<TokenPiece> pieces,
        long retryAfterMillis) {
    /**
     * Creates a reply that carries no outcome.
     *
     * @param router the address of the router
     * @param kind how far the send got
     * @param requestId the request id where one was seen, else empty
     * @return the reply
     */
    public static Reply withoutOutcome(String router, ReplyKind kind, String requestId) {
        return new Reply(
                router, kind, null, "", requestId, MissingNode.getInstance(), List.of(), 0);
    }

    /**
     * Tells whether the whole answer arrived.
     *
     * @return true for the outcome ANSWERED
     */
    public boolean isAnswered() {
        return outcome == Outcome.ANSWERED;
    }
}
