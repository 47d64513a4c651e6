package org.bronzewheel.check;

import java.util.List;
import java.util.Optional;

/**
 * A system whose schedules can be checked exhaustively.
 *
 * @param <S> the type of states
 */
public interface Model<S> {
    /** Returns the initial state of all schedules. */
    S initial();

    /** Returns an independent copy of a state. */
    S copy(S state);

    /** Brings a state, which must not be shared, into the normal form of all equivalent states. */
    void normalize(S state);

    /** Returns the transitions that are possible in a state. */
    List<Transition<S>> transitions(S state);

    /** Returns the violated property, or empty if there is none. */
    Optional<String> violation(S state);

    /** Returns a text that is equal only for states with the same possible continuations. */
    String fingerprint(S state);
}
