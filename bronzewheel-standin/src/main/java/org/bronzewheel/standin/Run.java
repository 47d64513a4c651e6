package org.bronzewheel.standin;

import org.bronzewheel.request.Usage;

/**
 * One run of a stage at an upstream stand-in, as its ledger records it.
 *
 * @param pool the pool of the upstream
 * @param upstream the name of the upstream
 * @param attemptId the attempt that was run
 * @param requestId the request of the attempt
 * @param workspace the workspace of the caller
 * @param idempotencyKey the key sent with the call, empty for none
 * @param nonce the nonce found in the input, empty for none
 * @param inputDigest the digest of the input
 * @param whileLeaving whether the upstream had said that it is leaving
 * @param startedAtMillis when it started, in milliseconds since the epoch
 * @param endedAtMillis when it ended, in milliseconds since the epoch, 0 while it runs
 * @param state how far it got
 * @param usage what it consumed
 */
public record Run(
        String pool,
        String upstream,
        String attemptId,
        String requestId,
        String workspace,
        String idempotencyKey,
        String nonce,
        String inputDigest,
        boolean whileLeaving,
        long startedAtMillis,
        long endedAtMillis,
        RunState state,
        Usage usage) {
    Run ended(long atMillis, RunState endState, Usage used) {
        return new Run(
                pool,
                upstream,
                attemptId,
                requestId,
                workspace,
                idempotencyKey,
                nonce,
                inputDigest,
                whileLeaving,
                startedAtMillis,
                atMillis,
                endState,
                used);
    }
}
