package org.bronzewheel.upstreams;

import com.google.common.flogger.FluentLogger;
import java.util.List;

/**
 * Passive outlier detection: ejects upstreams based on the results of regular calls.
 *
 * <p>An upstream is compared with the others of its service, as some requests fail on every
 * upstream. At most half of a service is ejected at a time.
 */
public final class OutlierDetector {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MIN_SAMPLES = 3;
    private static final double EXCESS_FAILURE_SHARE = 0.3;
    private static final int BREAKS_BEFORE_EJECTION = 2;
    private static final long EJECTION_MILLIS = 2_000;

    private OutlierDetector() {}

    /**
     * Records the failure of a call and ejects the upstream if it is an outlier.
     *
     * @param upstream the upstream that failed
     * @param peers all upstreams of its service
     * @param broken whether the connection broke or timed out, as opposed to an error response
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public static void recordFailure(
            Upstream upstream, List<Upstream> peers, boolean broken, long nowMillis) {
        upstream.recordFailure();
        if (upstream.isEjected(nowMillis) || !isOutlier(upstream, peers, broken)) {
            return;
        }
        long out = peers.stream().filter(peer -> peer.isEjected(nowMillis)).count();
        if ((out + 1) * 2 > peers.size()) {
            return;
        }
        logger.atInfo().log(
                "upstream ejected: id=%s failureShare=%.2f millis=%d",
                upstream.entry().id(), upstream.failureShare(), EJECTION_MILLIS);
        upstream.eject(nowMillis + EJECTION_MILLIS);
    }

    private static boolean isOutlier(Upstream upstream, List<Upstream> peers, boolean broken) {
        if (broken && upstream.consecutiveFailures() >= BREAKS_BEFORE_EJECTION) {
            return true;
        }
        double others =
                peers.stream()
                        .filter(peer -> peer != upstream)
                        .mapToDouble(Upstream::failureShare)
                        .average()
                        .orElse(1);
        return upstream.samples() >= MIN_SAMPLES
                && upstream.failureShare() > others + EXCESS_FAILURE_SHARE;
    }
}
