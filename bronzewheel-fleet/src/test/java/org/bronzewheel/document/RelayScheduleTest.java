package org.bronzewheel.document;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.bronzewheel.document.RelayFixture.document;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Runs relay state machines under random, reproducible fault schedules; each schedule depends only
 * on its seed.
 */
class RelayScheduleTest {
    private static final int SCHEDULES = 60;
    private static final int STEPS = 120;
    private static final int ROUTERS = 5;
    private static final int MAX_CHECK_MILLIS = 3_000;

    @Test
    void randomFaultsCauseNoViolation() {
        for (long seed = 0; seed < SCHEDULES; seed++) {
            List<String> violations = run(seed, EnumSet.allOf(RelayRule.class));
            assertWithMessage("seed %s", seed).that(violations).isEmpty();
        }
    }

    @ParameterizedTest
    @EnumSource(RelayRule.class)
    void disablingARuleCausesAViolation(RelayRule rule) {
        boolean caught = false;
        for (long seed = 0; seed < SCHEDULES && !caught; seed++) {
            caught = !run(seed, EnumSet.complementOf(EnumSet.of(rule))).isEmpty();
        }
        assertThat(caught).isTrue();
    }

    private static List<String> run(long seed, EnumSet<RelayRule> rules) {
        SplittableRandom random = new SplittableRandom(seed);
        RelayFixture fleet =
                new RelayFixture(seed, ROUTERS, 2, rules, random.nextInt(1, MAX_CHECK_MILLIS));
        List<RevisionedDocument> published = new ArrayList<>();
        fleet.platform.setReplica(after -> answer(published, after, random));
        fleet.startAll();
        for (int step = 0; step < STEPS; step++) {
            injectFault(fleet, published, random);
            fleet.network.runFor(random.nextInt(2_000));
        }
        clearFaults(fleet);
        RevisionedDocument last = document(published.size() + 1, "last");
        published.add(last);
        fleet.platform.setReplica(after -> Optional.of(last));
        fleet.network.runFor(60_000);
        return violations(fleet, last.version());
    }

    private static void injectFault(
            RelayFixture fleet, List<RevisionedDocument> published, SplittableRandom random) {
        int router = random.nextInt(ROUTERS);
        String vmId = RelayFixture.vmId(router);
        switch (random.nextInt(9)) {
            case 0, 1, 2 -> {
                long revision = published.size() + 1L;
                String text = (random.nextInt(3) == 0 ? "bad" : "good") + revision;
                published.add(document(revision, text));
            }
            case 3 -> fleet.platform.setUp(random.nextBoolean());
            case 4 -> {
                fleet.network.setFaults(random.nextDouble() / 2, random.nextDouble() / 2);
                fleet.network.setDelay(200, random.nextInt(1_000, 2_000_000));
            }
            case 5 -> {
                int side = random.nextInt(1 << ROUTERS);
                fleet.network.setPartition((from, to) -> bit(side, from) != bit(side, to));
            }
            case 6 -> fleet.network.setPartition((from, to) -> from.equals(vmId));
            case 7 -> fleet.start(router);
            default -> {
                fleet.network.pausedVms().forEach(fleet.network::resume);
                fleet.network.pause(vmId);
            }
        }
    }

    private static boolean bit(int side, String vmId) {
        return (side >> Integer.parseInt(vmId.substring("vm-".length())) & 1) == 1;
    }

    /**
     * Returns the newest document, sometimes an older one, sometimes different content of the same
     * revision.
     */
    private static Optional<RevisionedDocument> answer(
            List<RevisionedDocument> published, long after, SplittableRandom random) {
        if (published.isEmpty()) {
            return Optional.empty();
        }
        int choice = random.nextInt(10);
        int index = published.size() - 1;
        if (choice == 0) {
            index = random.nextInt(published.size());
        }
        RevisionedDocument document = published.get(index);
        if (choice == 1) {
            return Optional.of(document(document.version().revision(), "other"));
        }
        boolean stale = choice > 1 && document.version().revision() <= after;
        return stale ? Optional.empty() : Optional.of(document);
    }

    private static void clearFaults(RelayFixture fleet) {
        fleet.network.setPartition((from, to) -> false);
        fleet.network.setFaults(0, 0);
        fleet.network.setDelay(200, 2_000);
        fleet.network.pausedVms().forEach(fleet.network::resume);
        fleet.platform.setUp(true);
    }

    private static List<String> violations(RelayFixture fleet, DocumentVersion last) {
        List<String> violations = new ArrayList<>();
        for (VirtualRelay relay : fleet.everStarted) {
            checkOrder(relay.accepted(), violations);
            if (new HashSet<>(relay.refused()).removeAll(relay.accepted())) {
                violations.add("a refused version was accepted");
            }
            checkRepeats(relay, violations);
        }
        for (VirtualRelay relay : fleet.relays.values()) {
            if (relay.accepted().isEmpty()
                    || !relay.accepted().get(relay.accepted().size() - 1).equals(last)) {
                violations.add("the last version was not accepted by all routers");
            }
        }
        return violations;
    }

    private static void checkOrder(List<DocumentVersion> accepted, List<String> violations) {
        for (int i = 1; i < accepted.size(); i++) {
            if (accepted.get(i).revision() <= accepted.get(i - 1).revision()) {
                violations.add(accepted.get(i - 1) + " was followed by " + accepted.get(i));
            }
        }
    }

    private static void checkRepeats(VirtualRelay relay, List<String> violations) {
        Map<DocumentVersion, Integer> checks = new HashMap<>();
        relay.checks().forEach(version -> checks.merge(version, 1, Integer::sum));
        for (DocumentVersion refused : relay.refused()) {
            if (checks.getOrDefault(refused, 0) > 1) {
                violations.add(refused + " was checked again after its refusal");
            }
        }
    }
}
