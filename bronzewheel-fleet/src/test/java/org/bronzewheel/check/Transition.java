package org.bronzewheel.check;

import java.util.function.Consumer;

/**
 * A transition that is possible in a state.
 *
 * @param label the name of the transition in a schedule
 * @param effect applies the transition to a copy of the state
 * @param <S> the type of states
 */
public record Transition<S>(String label, Consumer<S> effect) {}
