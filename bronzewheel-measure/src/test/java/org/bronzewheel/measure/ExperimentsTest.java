package org.bronzewheel.measure;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

class ExperimentsTest {
    private static final long SEED = 1;
    private static final ExperimentResult LOAD = Experiments.run("load", SEED);
    private static final Case CUT_TOKACHI =
            new Case(Profile.tokachi(), Variants.full(), 0.8, Fault.DOMAIN_CUT);
    private static final String CUT_TOKACHI_URGENT = CUT_TOKACHI.label() + " urgent attainment";

    @Test
    void theSameSeedGivesTheSameResult() {
        Case overload = new Case(Profile.tokachi(), Variants.full(), 1.5, Fault.HUNG_WORKER);
        Tally first = overload.run(SEED);
        Tally second = overload.run(SEED);
        assertThat(Experiments.figures(overload.profile(), second))
                .isEqualTo(Experiments.figures(overload.profile(), first));
        assertThat(Experiments.figures(overload.profile(), overload.run(SEED + 1)))
                .isNotEqualTo(Experiments.figures(overload.profile(), first));
    }

    @Test
    void anUnknownExperimentIsRefused() {
        BronzewheelException e =
                assertThrows(BronzewheelException.class, () -> Experiments.run("none", SEED));
        assertThat(e.code()).isEqualTo(ErrorCode.INVALID_SETTING);
    }

    @Test
    void aResultIsWrittenAsJsonAndAsATableWithOneLineForEachTarget() {
        ExperimentResult result = LOAD;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        result.print(new PrintStream(bytes, true, StandardCharsets.UTF_8));
        String table = bytes.toString(StandardCharsets.UTF_8);
        assertThat(table.lines().filter(l -> l.startsWith("target ")).count())
                .isEqualTo(result.targets().size());
        assertThat(result.toJson()).contains("\"experiment\" : \"load\"");
    }

    @TestFactory
    Stream<DynamicTest> targetsUnderLoadAreMet() {
        return checks(LOAD.targets());
    }

    @TestFactory
    Stream<DynamicTest> targetsUnderFaultsAreMet() {
        List<Target> targets = new ArrayList<>(Experiments.run("faults", SEED).targets());
        assertThat(targets.removeIf(t -> t.name().startsWith(CUT_TOKACHI_URGENT))).isTrue();
        return checks(targets);
    }

    @Test
    @Tag("known-red")
    void urgentAttainmentHoldsAtTokachiWhileAFailureDomainIsCutOff() {
        double attainment = CUT_TOKACHI.run(SEED).attainment("urgent");
        check(Target.atLeast(CUT_TOKACHI_URGENT, attainment, Experiments.MIN_ATTAINMENT));
    }

    private static Stream<DynamicTest> checks(List<Target> targets) {
        return targets.stream()
                .map(t -> DynamicTest.dynamicTest(t.name() + " " + t.bound(), () -> check(t)));
    }

    private static void check(Target target) {
        assertWithMessage(target.toString()).that(target.met()).isTrue();
    }
}
