package org.bronzewheel.answer;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Maybe;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.service.Service;

/** A bounded memory of answers, copied to routers in other failure domains. */
public interface AnswerService extends Service {
    /**
     * Keeps an answer here and copies it to up to two peers in other failure domains.
     *
     * @param answer the answer
     * @param timeoutMillis the longest wait for the copies, in milliseconds
     * @return completes once copied, or at the timeout with the copies that succeeded
     */
    Completable store(StoredAnswer answer, long timeoutMillis);

    /**
     * Finds an answer here, or asks the peers that would hold its copies.
     *
     * @param requestId the request
     * @param timeoutMillis the longest wait, in milliseconds
     * @return the answer, or empty where none was found in time
     */
    Maybe<StoredAnswer> find(RequestId requestId, long timeoutMillis);

    /**
     * Copies the answers that only this router holds to peers; part of a planned stop.
     *
     * @param timeoutMillis the longest wait, in milliseconds
     * @return completes once copied, or at the timeout
     */
    Completable handOver(long timeoutMillis);
}
