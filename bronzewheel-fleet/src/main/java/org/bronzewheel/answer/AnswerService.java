package org.bronzewheel.answer;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Maybe;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.service.Service;

/** A bounded store of answers that are replicated to routers in other failure domains. */
public interface AnswerService extends Service {
    /**
     * Stores an answer locally and replicates it to peers, preferably in other failure domains.
     *
     * @param answer the answer
     * @param timeoutMillis the timeout of the replication, in milliseconds
     * @return completes once replicated, or at the timeout with the replicas made so far
     */
    Completable store(StoredAnswer answer, long timeoutMillis);

    /**
     * Finds an answer locally, or asks the peers that may hold a replica.
     *
     * @param requestId the request
     * @param timeoutMillis the timeout, in milliseconds
     * @return the answer, or empty if none was found in time
     */
    Maybe<StoredAnswer> find(RequestId requestId, long timeoutMillis);

    /**
     * Replicates the answers that no peer holds yet; part of a graceful shutdown.
     *
     * @param timeoutMillis the timeout, in milliseconds
     * @return completes once replicated, or at the timeout
     */
    Completable handOver(long timeoutMillis);
}
