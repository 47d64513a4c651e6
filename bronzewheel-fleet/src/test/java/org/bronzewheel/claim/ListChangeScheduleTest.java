package org.bronzewheel.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.bronzewheel.request.IdempotencyKey;
import org.junit.jupiter.api.Test;

/**
 * Guards against a second grant when a router with an outdated VM list claims a key that routers of
 * the new list have already granted.
 */
class ListChangeScheduleTest {
    private static final ClaimSettings SETTINGS = RandomClaimWalk.SETTINGS;
    private static final Set<String> ALL = Set.of("a", "b", "c", "d", "e", "f");

    private ClaimSimulation simulation;
    private boolean exchangesLists = true;

    @Test
    void aRouterThatMissedTheNewListIsNotGrantedAKey() {
        claimAtARouterThatMissedTheNewList(ClaimRules.ALL);

        assertThat(simulation.grants()).isEqualTo(1);
        assertThat(simulation.violation()).isEmpty();
    }

    @Test
    void withoutEvidenceOfOldListsARouterThatMissedTheNewListRunsTheKeyAgain() {
        claimAtARouterThatMissedTheNewList(Mutants.without("evidenceOfOldLists"));

        assertThat(simulation.violation()).isPresent();
    }

    @Test
    void routersThatRestartedWithAStaleListDoNotUseItForANewGrant() {
        claimAmongRoutersThatRestartedWithAStaleList(ClaimRules.ALL);

        assertThat(simulation.grants()).isEqualTo(1);
        assertThat(simulation.violation()).isEmpty();
    }

    @Test
    void withEvidenceOfRestartedRoutersAStaleListRunsTheKeyAgain() {
        claimAmongRoutersThatRestartedWithAStaleList(Mutants.without("restartedEvidenceIsVoid"));

        assertThat(simulation.violation()).isPresent();
    }

    @Test
    void aRouterThatLacksAnOlderListOfItsPeersDoesNotSkipIt() {
        claimAtARouterThatLacksAnOlderList(ClaimRules.ALL);

        assertThat(simulation.grants()).isEqualTo(1);
        assertThat(simulation.violation()).isEmpty();
    }

    @Test
    void withoutTheListsOfItsPeersARouterRunsTheKeyAgain() {
        claimAtARouterThatLacksAnOlderList(Mutants.without("peersListsAreKnown"));

        assertThat(simulation.violation()).isPresent();
    }

    /**
     * The violating schedule that the exhaustive check found before the rule peersListsAreKnown
     * existed.
     */
    private void claimAtARouterThatLacksAnOlderList(ClaimRules rules) {
        startWithFirstList(rules, "a", "b", "c");
        simulation.start("d", 0);
        learn(secondList("b", "c", "d"), "b", "d");
        exchangesLists = false;
        advancePastWarmUp();
        IdempotencyKey key = newKey();

        simulation.claim("a", key);
        deliverAmong(Set.of("a", "b"));
        simulation.claim("d", key);
        deliverAmong(Set.of("c", "d"));
    }

    private void claimAtARouterThatMissedTheNewList(ClaimRules rules) {
        startWithFirstList(rules, "a", "b", "c");
        useSecondList("c", "d", "e");
        learn(secondList("c", "d", "e"), "b");
        advancePastWarmUp();
        IdempotencyKey key = newKey();

        simulation.claim("a", key);
        deliverAmong(Set.of("a", "b"));
        simulation.claim("d", key);
        deliverAmong(Set.of("d", "e"));
    }

    private void claimAmongRoutersThatRestartedWithAStaleList(ClaimRules rules) {
        VoterList firstList = startWithFirstList(rules, "a", "b", "c", "d", "e");
        useSecondList("b", "c", "d", "e", "f");
        advancePastWarmUp();
        IdempotencyKey key = newKey();

        simulation.claim("f", key);
        deliverAmong(Set.of("b", "c", "f"));
        simulation.inFlight.clear();
        for (String restarted : List.of("b", "c")) {
            simulation.start(restarted, 0);
            simulation.updateList(restarted, firstList);
        }
        simulation.inFlight.clear();
        advance(10);
        simulation.claim("a", key);
        deliverAmong(Set.of("a", "d", "e"));
    }

    private VoterList startWithFirstList(ClaimRules rules, String... vmIds) {
        simulation = new ClaimSimulation(SETTINGS, rules);
        VoterList list = list(1, vmIds);
        for (String vmId : vmIds) {
            simulation.start(vmId, 0);
        }
        learn(list, vmIds);
        deliverAmong(ALL);
        advancePastWarmUp();
        return list;
    }

    private void useSecondList(String... vmIds) {
        for (String vmId : vmIds) {
            if (!simulation.routers.containsKey(vmId)) {
                simulation.start(vmId, 0);
            }
        }
        learn(secondList(vmIds), vmIds);
    }

    private void learn(VoterList list, String... vmIds) {
        for (String vmId : vmIds) {
            simulation.updateList(vmId, list);
        }
    }

    private void advancePastWarmUp() {
        for (int i = 0; i < 10; i++) {
            advance(10);
        }
    }

    private void advance(long millis) {
        simulation.advance(millis);
        deliverAmong(ALL);
    }

    /** Delivers the messages among some routers; router a never receives a newer list. */
    private void deliverAmong(Set<String> vmIds) {
        boolean progress = true;
        while (progress) {
            simulation.inFlight.removeIf(this::isLost);
            List<InFlight> due =
                    simulation.inFlight.stream()
                            .filter(message -> vmIds.contains(message.from().vmId()))
                            .filter(message -> vmIds.contains(message.toVmId()))
                            .toList();
            due.forEach(simulation::deliver);
            progress = !due.isEmpty();
        }
    }

    private boolean isLost(InFlight message) {
        return message.message() instanceof ClaimMessage.ListOffer
                && (message.toVmId().equals("a") || !exchangesLists);
    }

    private IdempotencyKey newKey() {
        return UuidKeys.version7(ClaimSimulation.EPOCH_MILLIS + simulation.nowMillis(), 1);
    }

    private static VoterList secondList(String... vmIds) {
        return list(2, vmIds);
    }

    private static VoterList list(long revision, String... vmIds) {
        return new VoterList(
                revision,
                Arrays.stream(vmIds).map(vmId -> new Voter(vmId, "domain-" + vmId)).toList());
    }
}
