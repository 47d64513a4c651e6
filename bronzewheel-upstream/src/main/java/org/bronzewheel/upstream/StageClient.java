package org.bronzewheel.upstream;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;

/** A client of the upstreams of one kind of pool. */
public interface StageClient {
    /**
     * Sends an attempt. The deadline is checked immediately before the bytes leave.
     *
     * @param call the attempt
     * @param tokens receives generated text of a model engine
     * @return the whole answer, or a {@link org.bronzewheel.error.BronzewheelException} whose
     *     outcome says whether the attempt ran; disposing of the subscription cancels the attempt
     *     at the upstream
     */
    Single<StageAnswer> call(StageCall call, TokenListener tokens);

    /**
     * Cancels an attempt at its upstream.
     *
     * @param call the attempt
     * @return completes once the upstream confirmed
     */
    Completable cancel(StageCall call);
}
