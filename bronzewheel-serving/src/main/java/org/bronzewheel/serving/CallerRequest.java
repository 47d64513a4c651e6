package org.bronzewheel.serving;

import java.util.List;
import java.util.Optional;
import org.bronzewheel.upstreams.PromptPart;

/**
 * A request from a caller, independent of the protocol it arrived over.
 *
 * @param id the id of the caller's attempt
 * @param method the HTTP method
 * @param target the path and query as received
 * @param host the host that selects the route, without a port
 * @param path the path without its query
 * @param headers the headers to forward
 * @param body the complete body
 * @param timeoutMillis the caller's timeout in milliseconds; empty if not specified
 * @param key the API key of the caller, if it sent one
 * @param lastEventId the last event the caller received in an earlier attempt
 * @param promptTokens the length of the prompt in tokens; 0 if there is none
 * @param maxOutputTokens the largest number of tokens to generate
 * @param promptParts the prompt parts that requests may share
 * @param pieces the number of pieces of each stage
 * @param pieceKey the key of the pieces for stages without inputs
 */
// Requests are never compared and their bodies never modified.
@SuppressWarnings("ArrayRecordComponent")
public record CallerRequest(
        String id,
        String method,
        String target,
        String host,
        String path,
        List<Header> headers,
        byte[] body,
        Optional<Long> timeoutMillis,
        Optional<String> key,
        Optional<Long> lastEventId,
        int promptTokens,
        int maxOutputTokens,
        List<PromptPart> promptParts,
        List<Integer> pieces,
        Optional<String> pieceKey) {}
