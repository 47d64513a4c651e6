package org.bronzewheel.transport;

import io.reactivex.rxjava3.core.Single;
import org.bronzewheel.service.Service;

/** Carries messages and calls between routers, over TCP in production. */
public interface PeerTransport extends Service {
    /**
     * Returns the identity of this router.
     *
     * @return the VM and incarnation of this router
     */
    Peer self();

    /**
     * Sends a one-way message, which may be lost, duplicated, delayed or reordered.
     *
     * @param toVmId the VM of the receiver, which may be this one
     * @param channel the type of traffic
     * @param payload the encoded message
     * @return false if the message was dropped immediately
     */
    boolean send(String toVmId, Channel channel, byte[] payload);

    /**
     * Calls a peer and waits for its reply.
     *
     * @param toVmId the VM of the receiver
     * @param channel the type of traffic
     * @param payload the encoded call
     * @param timeoutMillis the timeout, in milliseconds
     * @return the encoded reply, or a {@link org.bronzewheel.error.BronzewheelException} whose
     *     outcome is NOT_RUN only if nothing was sent
     */
    Single<byte[]> call(String toVmId, Channel channel, byte[] payload, long timeoutMillis);

    /**
     * Registers the listener for one-way messages of a channel; to be called before the start.
     *
     * @param channel the type of traffic
     * @param listener the listener
     */
    void listen(Channel channel, MessageListener listener);

    /**
     * Registers the handler for calls of a channel; to be called before the start.
     *
     * @param channel the type of traffic
     * @param handler the handler
     */
    void serve(Channel channel, CallHandler handler);
}
