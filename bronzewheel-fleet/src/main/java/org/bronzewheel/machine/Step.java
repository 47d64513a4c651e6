package org.bronzewheel.machine;

import java.util.List;

/**
 * What one input to a state machine brought about.
 *
 * @param messages what to send, in order
 * @param events decisions for the own router, in order
 * @param <M> the type of messages
 * @param <E> the type of events
 */
public record Step<M, E>(List<Outgoing<M>> messages, List<E> events) {
    /**
     * Returns a step without effect.
     *
     * @param <M> the type of messages
     * @param <E> the type of events
     * @return an empty step
     */
    public static <M, E> Step<M, E> none() {
        return new Step<>(List.of(), List.of());
    }
}
