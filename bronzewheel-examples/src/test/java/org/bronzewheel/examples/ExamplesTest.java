package org.bronzewheel.examples;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.bronzewheel.claim.ClaimDecision;
import org.bronzewheel.claim.ClaimDecision.Granted;
import org.bronzewheel.claim.ClaimDecision.HeldBy;
import org.junit.jupiter.api.Test;

class ExamplesTest {
    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();
    private final PrintStream out = new PrintStream(printed, true, StandardCharsets.UTF_8);

    @Test
    void failingWorkerGetsFewerCallsThanTheOthers() {
        Map<String, Integer> counts = ChooseWorkerExample.run(out);

        assertThat(counts.get("encoder-3")).isLessThan(counts.get("encoder-1") / 2);
        assertThat(counts.get("encoder-3")).isLessThan(counts.get("encoder-2") / 2);
    }

    @Test
    void oneOfTwoRequestsWithTheSameKeyIsGrantedAndTheOtherRefersToIt() {
        List<ClaimDecision> decisions = ClaimKeyExample.run(out);

        ClaimDecision granted =
                decisions.stream().filter(Granted.class::isInstance).findFirst().orElseThrow();
        assertThat(decisions).contains(new HeldBy(((Granted) granted).requestId()));
        assertThat(printed.toString(StandardCharsets.UTF_8)).contains("Granted");
    }
}
