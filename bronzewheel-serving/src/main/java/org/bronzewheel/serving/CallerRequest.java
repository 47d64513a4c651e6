package org.bronzewheel.serving;

import java.util.List;
import java.util.Optional;
import org.bronzewheel.upstreams.PromptPart;

/**
 * A request as a caller sent it, decoded from whatever protocol it came by.
 *
 * @param id the id of the caller's attempt
 * @param method the HTTP method
 * @param target the path and query as they were sent
 * @param host the host that selects the route, without a port
 * @param path the path without its query
 * @param headers the headers to pass on
 * @param body the whole body
 * @param timeoutMillis how long the caller waits, in milliseconds; empty where it does not say
 * @param key the key of the caller, where it sent one
 * @param lastEventId the last event that the caller has of an earlier attempt
 * @param promptTokens the length of the prompt in tokens; 0 where there is none
 * @param maxOutputTokens the largest number of tokens to generate
 * @param promptParts the parts of the prompt that requests may share
 * @param pieces the number of pieces of each stage
 * @param pieceKey the key of the pieces of stages without inputs
 */
// Requests are never compared, and their bodies never changed.
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
