package org.bronzewheel.traffic;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A request that a caller is going to send.
 *
 * @param atMillis when it is sent, in milliseconds after the begin of the load
 * @param kind its request class and pipeline
 * @param workspace the workspace
 * @param nonce distinct for each request; its input carries it
 * @param input the input
 * @param idempotencyKey the key, empty for none
 * @param streamed whether the caller asks for a stream
 * @param sentTwice whether it is sent to two routers at once under one key
 * @param idempotent whether its pipeline is idempotent
 * @param deadlineMillis the deadline of its request class, in milliseconds
 */
public record PlannedRequest(
        long atMillis,
        TrafficKind kind,
        String workspace,
        String nonce,
        JsonNode input,
        String idempotencyKey,
        boolean streamed,
        boolean sentTwice,
        boolean idempotent,
        long deadlineMillis) {
    /**
     * Tells whether a caller may send it again after a broken connection.
     *
     * @return true where a second run does no harm or the key prevents it
     */
    public boolean mayBeSentAgain() {
        return idempotent || !idempotencyKey.isEmpty();
    }
}
