package org.bronzewheel.catalog;

import java.util.List;
import java.util.Optional;

/**
 * A rule that routes requests for a host and path prefix to services.
 *
 * @param name the name of the route
 * @param host the host of the requests
 * @param prefix the path prefix of the requests
 * @param streaming whether responses are event streams
 * @param retryRule whether and how a request may be retried
 * @param timeoutMillis the maximum time to the complete response, in milliseconds; 0 if unlimited
 * @param objectiveMillis the latency objective for a response, in milliseconds
 * @param gapObjectiveMillis the objective for the time between two events, in milliseconds
 * @param callerSilenceMillis the time without a stream event, including before the first one, after
 *     which callers disconnect, in milliseconds; 0 if they wait until the timeout
 * @param priority the priority of the route; 0 is the highest
 * @param maxAttempts the maximum number of attempts for a request
 * @param shares the services that run the requests
 * @param stages the stages that run before the request, by index
 * @param open whether requests are accepted without an API key
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
    /** The timeout where neither the caller nor the route specifies one. */
    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

    /**
     * Returns the timeout of a request: the shorter of the caller's and the route's.
     *
     * @param callerMillis the caller's timeout, in milliseconds; empty if it specified none
     * @return the time from the arrival to the complete response, in milliseconds
     */
    public long timeoutMillis(Optional<Long> callerMillis) {
        if (timeoutMillis <= 0) {
            return callerMillis.orElse(DEFAULT_TIMEOUT_MILLIS);
        }
        return Math.min(callerMillis.orElse(timeoutMillis), timeoutMillis);
    }

    /**
     * Returns how long a caller waits for the first part of the response.
     *
     * @param totalTimeoutMillis the caller's timeout for the complete response, in milliseconds
     * @return the time in milliseconds
     */
    public long firstResponseTimeoutMillis(long totalTimeoutMillis) {
        return callerSilenceMillis > 0
                ? Math.min(totalTimeoutMillis, callerSilenceMillis)
                : totalTimeoutMillis;
    }

    /**
     * Selects the service for a request by the traffic split.
     *
     * @param point a random number in [0, 1) that stays fixed for the request
     * @return the name of the service
     */
    public String selectService(double point) {
        double total = 0;
        for (ServiceShare share : shares) {
            total += share.weight();
        }
        double remaining = point * total;
        for (ServiceShare share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }

    /**
     * Returns whether no other stage depends on the results of a stage.
     *
     * @param index the index of the stage
     * @return whether only the request itself uses the results
     */
    public boolean isLastStage(int index) {
        return stages.stream().noneMatch(stage -> stage.after().contains(index));
    }
}
