package org.bronzewheel.serving;

import io.reactivex.rxjava3.disposables.Disposable;

/** Sends requests to upstreams. */
@FunctionalInterface
public interface UpstreamClient {
    /**
     * Sends a request.
     *
     * @param call the request and its target
     * @param listener receives the response on the serving loop, never before this method returns
     * @return cancels the request at the upstream, after which the listener is no longer called
     */
    Disposable send(UpstreamCall call, UpstreamListener listener);
}
