package org.bronzewheel.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.inventory.Workspace;

/**
 * Enforces this router's share of the request rate limits that apply to workspaces across the
 * fleet.
 *
 * <p>The share is the limit divided by the number of routers. A partitioned router keeps the last
 * number it knew, so that both sides of a network partition together stay within the limit.
 */
public final class WorkspaceLimits {
    private static final double BURST_SECONDS = 1;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<String, TokenBucket> buckets = new HashMap<>();
    private final Map<String, Integer> limits = new HashMap<>();
    private int routers;

    /**
     * Creates the limits; a workspace is tracked from its first request on.
     *
     * @param routers the number of routers that share the limits, at least 1
     */
    public WorkspaceLimits(int routers) {
        this.routers = routers;
    }

    /**
     * Sets the number of routers that share the limits.
     *
     * @param count the number, at least 1
     * @param nowNanos the current time
     */
    public void setRouters(int count, long nowNanos) {
        routers = count;
        buckets.forEach((name, bucket) -> bucket.setRate(share(limits.get(name)), nowNanos));
    }

    /**
     * Counts a request against the rate limit of its workspace.
     *
     * @param workspace the workspace
     * @param nowNanos the current time
     * @return the refusal, or empty if the request is within the limit
     */
    public Optional<Refusal> tryTake(Workspace workspace, long nowNanos) {
        int limit = workspace.requestsPerSecondLimit();
        if (limit == 0) {
            return Optional.empty();
        }
        TokenBucket bucket = bucket(workspace.name(), limit, nowNanos);
        if (bucket.tryTake(nowNanos)) {
            return Optional.empty();
        }
        long waitMillis = bucket.nextTokenInNanos(nowNanos) / NANOS_PER_MILLI + 1;
        String detail = "workspace " + workspace.name() + " is over its limit";
        return Optional.of(new Refusal(ErrorCode.OVERLOADED, detail, waitMillis));
    }

    private TokenBucket bucket(String name, int limit, long nowNanos) {
        TokenBucket bucket =
                buckets.computeIfAbsent(
                        name, n -> new TokenBucket(share(limit), BURST_SECONDS, nowNanos));
        Integer known = limits.put(name, limit);
        if (known != null && known != limit) {
            bucket.setRate(share(limit), nowNanos);
        }
        return bucket;
    }

    private double share(int limit) {
        return (double) limit / routers;
    }
}
