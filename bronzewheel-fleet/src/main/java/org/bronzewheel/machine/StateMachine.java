package org.bronzewheel.machine;

import org.bronzewheel.transport.Peer;

/**
 * A deterministic state machine: messages and time go in, messages and events come out. It reads no
 * clock, draws no randomness of its own and does no input or output.
 *
 * @param <M> messages between peers
 * @param <E> decisions for the own router
 */
public interface StateMachine<M, E> {
    /**
     * Takes a message.
     *
     * @param from the sender
     * @param message the message
     * @param nowNanos the monotonic time of this router, in nanoseconds
     * @return what to send and what was decided
     */
    Step<M, E> receive(Peer from, M message, long nowNanos);

    /**
     * Lets time pass.
     *
     * @param nowNanos the monotonic time of this router, in nanoseconds
     * @return what to send and what was decided
     */
    Step<M, E> tick(long nowNanos);
}
