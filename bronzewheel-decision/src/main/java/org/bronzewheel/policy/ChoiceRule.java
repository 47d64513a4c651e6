package org.bronzewheel.policy;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.routing.ChoiceContext;
import org.bronzewheel.routing.WorkerTable;

/** A rule that chooses a worker of a table. */
@FunctionalInterface
public interface ChoiceRule {
    /**
     * Chooses a worker.
     *
     * @param workers the workers
     * @param context what the call asks
     * @param nowNanos the present time
     * @param random the source of randomness
     * @return the worker, or empty where none has room
     */
    Optional<Upstream> choose(
            WorkerTable workers, ChoiceContext context, long nowNanos, RandomGenerator random);
}
