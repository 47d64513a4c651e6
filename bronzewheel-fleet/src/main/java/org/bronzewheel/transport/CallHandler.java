package org.bronzewheel.transport;

import io.reactivex.rxjava3.core.Single;

/** A server of calls of a channel. */
@FunctionalInterface
public interface CallHandler {
    /**
     * Answers a call; must not block.
     *
     * @param from the caller
     * @param payload the encoded call
     * @return the encoded reply; an error closes the call with that error's code
     */
    Single<byte[]> handle(Peer from, byte[] payload);
}
