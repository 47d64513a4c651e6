package org.bronzewheel.demo;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.bronzewheel.ctl.Documents;
import org.bronzewheel.traffic.TrafficMix;
import org.bronzewheel.traffic.TrafficSettings;
import org.junit.jupiter.api.Test;

class DemoTest {
    private static final TrafficSettings FEW_REQUESTS =
            new TrafficSettings(20, 1_000, 5_000, 7, 50, 80, 50, 50);

    @Test
    void noPromiseIsBrokenWhileRoutersAreKilledAndStopped() {
        ByteArrayOutputStream progress = new ByteArrayOutputStream();
        DemoReport report =
                Demo.run(
                        Documents.embedded(),
                        FEW_REQUESTS,
                        TrafficMix.parse(TrafficMix.DEFAULT),
                        new PrintStream(progress, true, UTF_8));
        assertThat(report.verdict().violations()).isEmpty();
        assertThat(report.isClean()).isTrue();
        assertThat(report.verdict().total().answered()).isGreaterThan(0);
        assertThat(report.verdict().cost().keySet()).containsAtLeast("generate", "call", "notify");
        assertThat(progress.toString(UTF_8)).contains("planned stop of router vm-2");
    }
}
