package org.bronzewheel.execution;

import io.reactivex.rxjava3.core.Single;
import java.util.Set;

/** A source of workers with room for attempts. */
interface WorkerSource {
    /**
     * Waits for a worker.
     *
     * @param run the request
     * @param stageIndex the stage, from 0
     * @param excluded upstreams that were tried already
     * @return the place of one attempt; an error with outcome NOT_RUN where there will be none in
     *     time; disposing gives the place in the queue up
     */
    Single<Placement> place(RunContext run, int stageIndex, Set<String> excluded);
}
