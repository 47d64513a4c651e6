package org.bronzewheel.check;

import java.util.List;
import java.util.Optional;

/**
 * A system whose schedules can be explored.
 *
 * @param <S> the type of states
 */
public interface Model<S> {
    /** Returns the state in which each schedule begins. */
    S initial();

    /** Returns an independent copy of a state. */
    S copy(S state);

    /**
     * Brings a state that is no longer shared into a form that it has in common with equal ones.
     */
    void normalize(S state);

    /** Returns all that can happen in a state. */
    List<Transition<S>> transitions(S state);

    /** Returns the broken property, or empty in a good state. */
    Optional<String> violation(S state);

    /** Returns a text that is equal for states with equal futures only. */
    String fingerprint(S state);
}
