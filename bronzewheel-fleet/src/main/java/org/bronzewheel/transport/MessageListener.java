package org.bronzewheel.transport;

/** Receives the one-way messages of a channel. */
@FunctionalInterface
public interface MessageListener {
    /**
     * Processes a message; must not block.
     *
     * @param from the sender
     * @param payload the encoded message
     */
    void receive(Peer from, byte[] payload);
}
