package org.bronzewheel.policy;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.routing.ChoiceContext;
import org.bronzewheel.routing.WorkerTable;

/** A strategy that chooses a worker from a table. */
@FunctionalInterface
public interface ChoiceRule {
    /**
     * Chooses a worker.
     *
     * @param workers the workers
     * @param context the constraints and preferences of the call
     * @param nowNanos the current time
     * @param random the source of randomness
     * @return the worker, or empty if none has capacity
     */
    Optional<Upstream> choose(
            WorkerTable workers, ChoiceContext context, long nowNanos, RandomGenerator random);
}
