package org.bronzewheel.execution;

import io.reactivex.rxjava3.core.Single;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The second side of a race, which begins late or never.
 *
 * @param answer its answer; never ends where no hedge may be made
 * @param begun set once an attempt is made
 * @param <T> the type of the answer
 */
record HedgeSide<T>(Single<T> answer, AtomicBoolean begun) {
    boolean hasBegun() {
        return begun.get();
    }
}
