package org.bronzewheel.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.bronzewheel.upstreams.PromptPart;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.junit.jupiter.api.Test;

class PromptQuarantineTest {
    private static final long MINUTE_MILLIS = 60_000;

    private final PromptQuarantine quarantine = new PromptQuarantine();
    private final PromptQuarantine peer = new PromptQuarantine();

    private static List<PromptPart> prompt(String... ids) {
        return Stream.concat(Stream.of(ids), Stream.of("own"))
                .map(id -> new PromptPart(id, 100))
                .toList();
    }

    private static UpstreamEntry engine(int number) {
        return new UpstreamEntry("e" + number, "s", "10.0.0.1:80", "d", 8, 0, false);
    }

    private void crash(int engine, long atMillis, String... ids) {
        quarantine.crashed(engine(engine), prompt(ids), atMillis);
    }

    private boolean isQuarantined(String id, long nowMillis) {
        return quarantine.find(prompt(id), nowMillis).isPresent();
    }

    @Test
    void aPartThatCrashesThreeEnginesIsQuarantined() {
        crash(1, 1_000, "a", "bad");
        quarantine.survived(prompt("a", "b"), 1_500, 1_600);
        crash(2, 2_000, "a", "bad");
        assertThat(isQuarantined("bad", 2_000)).isFalse();
        crash(3, 3_000, "a", "bad");
        assertThat(quarantine.find(prompt("a", "bad"), 3_000))
                .hasValue(new Quarantine("bad", 3, 2 * MINUTE_MILLIS));
        assertThat(isQuarantined("a", 3_000)).isFalse();
    }

    @Test
    void theLastPartIsNeverQuarantined() {
        for (int i = 1; i <= 5; i++) {
            crash(i, i * 1_000L, "bad");
        }
        assertThat(quarantine.find(List.of(new PromptPart("own", 1)), 5_000)).isEmpty();
        assertThat(quarantine.find(prompt("x"), 5_000)).isEmpty();
    }

    @Test
    void manyRequestsLostInOneCrashCountOnce() {
        for (int request = 0; request < 10; request++) {
            crash(1, 1_000 + 400L * request, "a");
        }
        assertThat(isQuarantined("a", 5_000)).isFalse();
    }

    @Test
    void enginesThatAreKilledTogetherDoNotCondemnWhatWaitedThere() {
        for (int i = 1; i <= 6; i++) {
            crash(i, 1_000L + i, "a");
        }
        assertThat(isQuarantined("a", 2_000)).isFalse();
    }

    @Test
    void aSoundPartIsNotCondemnedByThePartItComesWith() {
        for (int i = 1; i <= 8; i++) {
            crash(i, i * 1_000L, "a", "bad");
            if (i % 2 == 0) {
                crash(i, i * 1_000L, "a", "b");
            }
        }
        quarantine.survived(prompt("a"), 500, 9_000);
        assertThat(isQuarantined("bad", 9_000)).isTrue();
        assertThat(isQuarantined("a", 9_000)).isFalse();
        assertThat(isQuarantined("b", 9_000)).isFalse();
    }

    @Test
    void twoPartsThatCrashEnginesAreBothQuarantined() {
        for (int i = 1; i <= 3; i++) {
            crash(i, i * 1_000L, "x");
            crash(10 + i, i * 1_000L + 500, "y");
        }
        assertThat(isQuarantined("x", 4_000)).isTrue();
        assertThat(isQuarantined("y", 4_000)).isTrue();
    }

    @Test
    void anAnswerThatBeganBeforeACrashDoesNotRefuteIt() {
        quarantine.survived(prompt("a"), 900, 5_000);
        for (int i = 1; i <= 4; i++) {
            crash(i, i * 1_000L, "a");
        }
        quarantine.survived(prompt("a"), 950, 5_000);
        assertThat(isQuarantined("a", 5_000)).isTrue();
        quarantine.survived(prompt("a"), 4_500, 5_500);
        assertThat(isQuarantined("a", 5_500)).isFalse();
    }

    @Test
    void aQuarantineEndsAndOneMoreCrashRenewsIt() {
        for (int i = 1; i <= 3; i++) {
            crash(i, i * 1_000L, "bad");
        }
        assertThat(isQuarantined("bad", 3_000 + 2 * MINUTE_MILLIS - 1)).isTrue();
        assertThat(isQuarantined("bad", 3_000 + 2 * MINUTE_MILLIS)).isFalse();
        crash(4, 3 * MINUTE_MILLIS, "bad");
        assertThat(isQuarantined("bad", 3 * MINUTE_MILLIS)).isTrue();
    }

    @Test
    void oldCrashesAreForgotten() {
        for (int i = 1; i <= 3; i++) {
            crash(i, i * 1_000L, "bad");
        }
        quarantine.expire(11 * MINUTE_MILLIS);
        assertThat(quarantine.suspected()).isEqualTo(0);
        crash(4, 11 * MINUTE_MILLIS, "bad");
        assertThat(isQuarantined("bad", 11 * MINUTE_MILLIS)).isFalse();
    }

    @Test
    void aPartThatCrashedTwoEnginesIsNotFailedOverToAThird() {
        crash(1, 1_000, "a");
        assertThat(quarantine.isSuspicious(prompt("a"))).isFalse();
        crash(2, 2_000, "a");
        assertThat(quarantine.isSuspicious(prompt("a"))).isTrue();
        quarantine.survived(prompt("a"), 2_500, 3_000);
        assertThat(quarantine.isSuspicious(prompt("a"))).isFalse();
    }

    @Test
    void crashesThatDifferentRoutersSeeAddUp() {
        crash(1, 1_000, "bad");
        crash(2, 2_000, "bad");
        peer.crashed(engine(2), prompt("bad"), 2_005);
        peer.crashed(engine(3), prompt("bad"), 3_000);
        peer.merge(quarantine.standing(), 3_100);
        assertThat(peer.find(prompt("bad"), 3_100)).isPresent();
    }

    @Test
    void aSurvivalThatAnotherRouterSawClearsThePart() {
        for (int i = 1; i <= 3; i++) {
            crash(i, i * 1_000L, "a");
        }
        peer.survived(prompt("a"), 3_500, 4_000);
        peer.merge(quarantine.standing(), 4_100);
        quarantine.merge(peer.news(4_200), 4_200);
        assertThat(isQuarantined("a", 4_200)).isFalse();
    }

    // A set of reports must lead to the same verdict in any order, also if some come twice.
    @Test
    void reorderedAndRepeatedReportsLeadToTheSameVerdict() {
        crash(1, 1_000, "a", "bad");
        List<List<PartEvidence>> reports = new ArrayList<>(List.of(quarantine.standing()));
        quarantine.survived(prompt("a"), 1_500, 1_500);
        reports.add(quarantine.news(1_500));
        for (int i = 2; i <= 4; i++) {
            crash(i, i * 1_000L, "a", "bad");
            reports.add(quarantine.standing());
        }
        reports.addAll(List.copyOf(reports));
        for (int seed = 0; seed < 50; seed++) {
            Collections.shuffle(reports, new Random(seed));
            PromptQuarantine other = new PromptQuarantine();
            reports.forEach(report -> other.merge(report, 5_000));
            assertThat(other.find(prompt("bad"), 5_000)).isPresent();
            assertThat(other.find(prompt("a"), 5_000)).isEmpty();
        }
    }

    @Test
    void evidenceIsBoundedHoweverManyPartsAndCrashesThereAre() {
        for (int i = 0; i < 50; i++) {
            String[] ids =
                    IntStream.range(0, 40).mapToObj(Integer::toString).toArray(String[]::new);
            ids[i % 40] = "rare" + i;
            crash(i, i * 1_000L, ids);
            crash(i, i * 1_000L, "x" + i, "y" + i, "z" + i, "w" + i, "v" + i, "u" + i);
        }
        assertThat(quarantine.suspected()).isAtMost(256);
        assertThat(quarantine.standing().size()).isAtMost(20);
        assertThat(EvidenceCodec.encode(quarantine.standing(), 60_000).length).isAtMost(6_000);
    }

    @Test
    void aPartWithStrongEvidenceIsKeptWhenManyOthersAreSuspected() {
        for (int i = 1; i <= 2; i++) {
            crash(i, i * 1_000L, "bad");
        }
        for (int i = 0; i < 1_000; i++) {
            crash(100 + i, 3_000L + i, "rare" + i);
        }
        crash(3, 5_000, "bad");
        assertThat(isQuarantined("bad", 5_000)).isTrue();
    }

    @Test
    void aSoundPartIsNotBlamedBecauseItWaitedAtOneMoreCrashThanThePartBesideIt() {
        quarantine.survived(prompt("a"), 500, 600);
        for (int i = 1; i <= 4; i++) {
            crash(i, 600 + i * 300L, "a", "bad");
        }
        crash(5, 2_100, "a");
        assertThat(isQuarantined("a", 2_100)).isFalse();
        assertThat(isQuarantined("bad", 2_100)).isTrue();
    }

    @Test
    void crashesThatThePartToBlameNoLongerListsAreNotHeldAgainstOthers() {
        for (int i = 1; i <= 3; i++) {
            crash(i, i * 1_000L, "b", "bad");
        }
        for (int i = 4; i <= 20; i++) {
            crash(i, i * 1_000L, "bad");
        }
        assertThat(isQuarantined("bad", 20_000)).isTrue();
        assertThat(isQuarantined("b", 20_000)).isFalse();
    }

    @Test
    void aPartIsNotSuspiciousForCrashesThatAnotherPartExplains() {
        crash(1, 1_000, "b", "bad");
        crash(2, 2_000, "b", "bad");
        crash(3, 3_000, "bad");
        assertThat(quarantine.isSuspicious(prompt("b"))).isFalse();
        assertThat(quarantine.isSuspicious(prompt("bad"))).isTrue();
    }
}
