package org.bronzewheel.permits;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.bronzewheel.upstreams.ColdLimit;

/**
 * The limits of cold upstreams that other routers named in their questions for permits.
 *
 * <p>The owner of a limit may not have read the entry of the upstream yet, or may be cut off from
 * the platform. Of several reports, the longest time and the smallest rate apply. A report is about
 * one process of the upstream and does not limit a later one under the same id.
 */
final class ReportedCold {
    /** The time after which a report is dropped; while it is true, each question repeats it. */
    private static final long MAX_MILLIS = 60_000;

    /** The start time of a process that is not known. */
    private static final long UNKNOWN_START = 0;

    private final Map<Life, Report> reports = new HashMap<>();

    /** One process of an upstream. */
    private record Life(String upstreamId, long startedMillis) {
        /** Returns whether this may be the known process or one that starts after it. */
        boolean concerns(String id, long knownStartMillis) {
            return upstreamId.equals(id)
                    && (startedMillis == UNKNOWN_START || startedMillis >= knownStartMillis);
        }
    }

    private record Report(long untilMillis, double perSecond) {}

    /**
     * Records a report.
     *
     * @param startedMillis when the process started, in milliseconds since 1970; 0 if unknown
     */
    void report(String upstreamId, long startedMillis, ColdLimit limit, long nowMillis) {
        long untilMillis = nowMillis + Math.min(MAX_MILLIS, limit.remainingMillis());
        reports.values().removeIf(report -> nowMillis >= report.untilMillis());
        reports.merge(
                new Life(upstreamId, startedMillis),
                new Report(untilMillis, limit.perSecond()),
                (known, newer) ->
                        new Report(
                                Math.max(known.untilMillis(), newer.untilMillis()),
                                Math.min(known.perSecond(), newer.perSecond())));
    }

    /**
     * Returns the limit that was reported for an upstream; empty without one.
     *
     * @param knownStartMillis when the process that this router knows started; 0 if unknown
     */
    OptionalDouble perSecond(String upstreamId, long knownStartMillis, long nowMillis) {
        return reports.entrySet().stream()
                .filter(report -> report.getKey().concerns(upstreamId, knownStartMillis))
                .filter(report -> nowMillis < report.getValue().untilMillis())
                .mapToDouble(report -> report.getValue().perSecond())
                .min();
    }
}
