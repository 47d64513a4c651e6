package org.bronzewheel.check;

import java.util.function.Consumer;

/**
 * One thing that can happen in a state.
 *
 * @param label names it in a schedule
 * @param effect brings it about on a copy of the state
 * @param <S> the type of states
 */
public record Transition<S>(String label, Consumer<S> effect) {}
