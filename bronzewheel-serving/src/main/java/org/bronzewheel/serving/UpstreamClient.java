package org.bronzewheel.serving;

import io.reactivex.rxjava3.disposables.Disposable;

/** The way to upstreams. */
@FunctionalInterface
public interface UpstreamClient {
    /**
     * Sends a request.
     *
     * @param call what is sent, and where
     * @param listener takes the answer, from the serving loop, never before this method returns
     * @return cancels the send at the upstream; the listener is not called any more
     */
    Disposable send(UpstreamCall call, UpstreamListener listener);
}
