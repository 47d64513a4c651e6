package org.bronzewheel.machine;

import java.util.List;

/**
 * The output of a state machine for one input.
 *
 * @param messages the messages to send, in order
 * @param events decisions for this router, in order
 * @param <M> the type of messages
 * @param <E> the type of events
 */
public record Step<M, E>(List<Outgoing<M>> messages, List<E> events) {
    /**
     * Returns a step without messages and events.
     *
     * @param <M> the type of messages
     * @param <E> the type of events
     * @return an empty step
     */
    public static <M, E> Step<M, E> none() {
        return new Step<>(List.of(), List.of());
    }
}
