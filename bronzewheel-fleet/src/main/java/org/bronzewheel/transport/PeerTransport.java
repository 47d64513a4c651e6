package org.bronzewheel.transport;

import io.reactivex.rxjava3.core.Single;
import org.bronzewheel.service.Service;

/** A carrier of messages and calls between routers, over TCP in production. */
public interface PeerTransport extends Service {
    /**
     * Returns this router as its peers see it.
     *
     * @return the own VM and incarnation
     */
    Peer self();

    /**
     * Sends a one-way message. It may be lost, doubled, delayed or reordered.
     *
     * @param toVmId the VM of the receiver; the own VM is allowed
     * @param channel the kind of traffic
     * @param payload the encoded message
     * @return false where the message was dropped at once
     */
    boolean send(String toVmId, Channel channel, byte[] payload);

    /**
     * Calls a peer and waits for its reply.
     *
     * @param toVmId the VM of the receiver
     * @param channel the kind of traffic
     * @param payload the encoded call
     * @param timeoutMillis the longest wait, in milliseconds
     * @return the encoded reply, or a {@link org.bronzewheel.error.BronzewheelException} whose
     *     outcome is NOT_RUN only where nothing was sent
     */
    Single<byte[]> call(String toVmId, Channel channel, byte[] payload, long timeoutMillis);

    /**
     * Sets the receiver of one-way messages of a channel, before the start.
     *
     * @param channel the kind of traffic
     * @param listener the receiver
     */
    void listen(Channel channel, MessageListener listener);

    /**
     * Sets the server of calls of a channel, before the start.
     *
     * @param channel the kind of traffic
     * @param handler the server
     */
    void serve(Channel channel, CallHandler handler);
}
