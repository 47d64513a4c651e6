package org.bronzewheel.transport;

import io.reactivex.rxjava3.core.Single;

/** Handles the calls that arrive on a channel. */
@FunctionalInterface
public interface CallHandler {
    /**
     * Handles a call; must not block.
     *
     * @param from the calling router
     * @param payload the encoded call
     * @return the encoded reply; an error ends the call with the code of that error
     */
    Single<byte[]> handle(Peer from, byte[] payload);
}
