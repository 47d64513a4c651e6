package org.bronzewheel.permits;

import static com.google.common.truth.Truth.assertThat;

import org.bronzewheel.upstreams.ColdLimit;
import org.junit.jupiter.api.Test;

class ReportedColdTest {
    private final ReportedCold reported = new ReportedCold();

    // Routers read entries at different times; the one that knows the longest time is right.
    @Test
    void ofSeveralReportsTheLongestTimeAndTheSmallestRateApply() {
        reported.report("u", 0, new ColdLimit(2_000, 8), 0);
        reported.report("u", 0, new ColdLimit(500, 4), 100);
        assertThat(reported.perSecond("u", 0, 1_999).getAsDouble()).isEqualTo(4);
        assertThat(reported.perSecond("u", 0, 2_000).isPresent()).isFalse();
        assertThat(reported.perSecond("v", 0, 0).isPresent()).isFalse();
    }

    // The owner may read the entry of a new process before or after it hears of it.
    @Test
    void aReportLimitsItsProcessAndThoseThatStartedBefore() {
        reported.report("u", 20, new ColdLimit(1_000, 4), 0);
        assertThat(reported.perSecond("u", 10, 0).getAsDouble()).isEqualTo(4);
        assertThat(reported.perSecond("u", 20, 0).getAsDouble()).isEqualTo(4);
        assertThat(reported.perSecond("u", 30, 0).isPresent()).isFalse();
        reported.report("u", 0, new ColdLimit(1_000, 8), 0);
        assertThat(reported.perSecond("u", 30, 0).getAsDouble()).isEqualTo(8);
    }

    @Test
    void aReportThatIsOverLeavesNoTrace() {
        reported.report("u", 0, new ColdLimit(1_000, 4), 0);
        reported.report("u", 0, new ColdLimit(1_000, 8), 1_000);
        assertThat(reported.perSecond("u", 0, 1_500).getAsDouble()).isEqualTo(8);
    }

    // A wrong report must not limit an upstream for good.
    @Test
    void aReportIsDroppedAfterAMinute() {
        reported.report("u", 0, new ColdLimit(Long.MAX_VALUE, 4), 0);
        assertThat(reported.perSecond("u", 0, 59_999).isPresent()).isTrue();
        assertThat(reported.perSecond("u", 0, 60_000).isPresent()).isFalse();
    }
}
