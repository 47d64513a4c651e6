package org.bronzewheel.permits;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.bronzewheel.upstreams.ColdLimit;

/**
 * The limits of cold upstreams that other routers named in their questions for permits.
 *
 * <p>The owner of a limit may not have read the entry of the upstream yet, or may be cut off from
 * the platform. Of several reports, the longest time and the smallest rate apply.
 */
final class ReportedCold {
    /** The time after which a report is dropped; while it is true, each question repeats it. */
    private static final long MAX_MILLIS = 60_000;

    private final Map<String, Report> reports = new HashMap<>();

    private record Report(long untilMillis, double perSecond) {}

    /** Records a report. */
    void report(String upstreamId, ColdLimit limit, long nowMillis) {
        long untilMillis = nowMillis + Math.min(MAX_MILLIS, limit.remainingMillis());
        reports.values().removeIf(report -> nowMillis >= report.untilMillis());
        reports.merge(
                upstreamId,
                new Report(untilMillis, limit.perSecond()),
                (known, newer) ->
                        new Report(
                                Math.max(known.untilMillis(), newer.untilMillis()),
                                Math.min(known.perSecond(), newer.perSecond())));
    }

    /** Returns the limit that was reported for an upstream; empty without one. */
    OptionalDouble perSecond(String upstreamId, long nowMillis) {
        Report report = reports.get(upstreamId);
        return report == null || nowMillis >= report.untilMillis()
                ? OptionalDouble.empty()
                : OptionalDouble.of(report.perSecond());
    }
}
