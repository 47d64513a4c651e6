package org.bronzewheel.judge;

import org.bronzewheel.request.Usage;

/**
 * The cost of one stage over all requests, as its upstreams saw it.
 *
 * @param runs runs that started
 * @param cancelled runs among them that were cancelled
 * @param workerMillis time of workers, in milliseconds
 * @param promptTokens tokens read
 * @param completionTokens tokens generated
 */
public record StageCost(
        long runs, long cancelled, long workerMillis, long promptTokens, long completionTokens) {
    /** No cost. */
    public static final StageCost NONE = new StageCost(0, 0, 0, 0, 0);

    StageCost plus(Usage usage, boolean wasCancelled) {
        return new StageCost(
                runs + 1,
                cancelled + (wasCancelled ? 1 : 0),
                workerMillis + usage.workerMillis(),
                promptTokens + usage.promptTokens(),
                completionTokens + usage.completionTokens());
    }
}
