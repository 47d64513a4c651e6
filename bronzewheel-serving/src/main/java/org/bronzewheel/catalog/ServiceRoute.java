package org.bronzewheel.catalog;

import java.util.List;

/**
 * A rule that sends the requests of a host and a path prefix to services.
 *
 * @param name the name of the route
 * @param host the host of the requests
 * @param prefix the beginning of their paths
 * @param streaming whether answers are streams of events
 * @param retryRule whether a request may run more than once
 * @param timeoutMillis the longest time to the final answer, in milliseconds; 0 where unlimited
 * @param objectiveMillis the time within which an answer is on time, in milliseconds
 * @param gapObjectiveMillis the longest pause between two events that is on time, in milliseconds
 * @param callerSilenceMillis the time without an event of a stream, also before the first one,
 *     after which callers leave, in milliseconds; 0 where they wait for the timeout
 * @param priority the rank of the route, 0 first
 * @param maxAttempts the largest number of upstreams that may run one request
 * @param shares the services that run the requests
 * @param stages the stages before the request can run, by index
 * @param open whether requests need no key
 */
public record ServiceRoute(
        String name,
        String host,
        String prefix,
        boolean streaming,
        RetryRule retryRule,
        long timeoutMillis,
        long objectiveMillis,
        long gapObjectiveMillis,
        long callerSilenceMillis,
        int priority,
        int maxAttempts,
        List<ServiceShare> shares,
        List<StageStep> stages,
        boolean open) {
    /**
     * Returns how long a caller waits for the first part of its answer.
     *
     * @param patienceMillis the time that the caller waits for the whole answer, in milliseconds
     * @return the time in milliseconds
     */
    public long firstResponseTimeoutMillis(long patienceMillis) {
        return callerSilenceMillis > 0
                ? Math.min(patienceMillis, callerSilenceMillis)
                : patienceMillis;
    }

    /**
     * Returns the service of a request.
     *
     * @param point a number from 0 to below 1 that is drawn once for the request
     * @return the name of the service
     */
    public String selectService(double point) {
        double total = 0;
        for (ServiceShare share : shares) {
            total += share.weight();
        }
        double left = point * total;
        for (ServiceShare share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }

    /**
     * Tells whether no other stage takes the results of a stage.
     *
     * @param index the index of the stage
     * @return whether the request itself takes the results
     */
    public boolean isLastStage(int index) {
        return stages.stream().noneMatch(stage -> stage.after().contains(index));
    }
}
