package org.bronzewheel.machine;

import org.bronzewheel.transport.Peer;

/**
 * A deterministic state machine: its inputs are messages and time, its outputs messages and events.
 * It reads no clock, has no source of randomness and performs no input or output.
 *
 * @param <M> the type of messages between peers
 * @param <E> the type of events, decisions for this router
 */
public interface StateMachine<M, E> {
    /**
     * Processes a message.
     *
     * @param from the sender
     * @param message the message
     * @param nowNanos the monotonic time of this router, in nanoseconds
     * @return the messages to send and the events
     */
    Step<M, E> receive(Peer from, M message, long nowNanos);

    /**
     * Advances the time.
     *
     * @param nowNanos the monotonic time of this router, in nanoseconds
     * @return the messages to send and the events
     */
    Step<M, E> tick(long nowNanos);
}
