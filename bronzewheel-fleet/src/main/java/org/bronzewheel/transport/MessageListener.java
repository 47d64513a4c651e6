package org.bronzewheel.transport;

/** A receiver of one-way messages of a channel. */
@FunctionalInterface
public interface MessageListener {
    /**
     * Takes a message; must not block.
     *
     * @param from the sender
     * @param payload the encoded message
     */
    void receive(Peer from, byte[] payload);
}
