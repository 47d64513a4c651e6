package org.bronzewheel.execution;

import io.reactivex.rxjava3.core.Single;
import java.util.Optional;
import java.util.OptionalLong;
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

    /** Returns the longest time that an attempt should take, in nanoseconds. */
    long attemptTimeoutNanos(RunContext run, int stageIndex);

    /**
     * Returns the time after which an attempt should be hedged, in nanoseconds, empty for never.
     */
    OptionalLong hedgeDelayNanos(RunContext run, int stageIndex);

    /** Finds a place for the hedge of an attempt at once, empty where none may be made. */
    Optional<Placement> hedge(
            RunContext run, int stageIndex, Placement first, Set<String> excluded);
}
