package org.bronzewheel.claim;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.bronzewheel.request.IdempotencyKey;
import org.junit.jupiter.api.Test;

/** Schedules in which a router with an old list claims a key that the new list's routers hold. */
class ListChangeScheduleTest {
    private static final ClaimSettings SETTINGS = RandomClaimWalk.SETTINGS;
    private static final Set<String> ALL = Set.of("a", "b", "c", "d", "e", "f");

    private ClaimSimulation world;
    private boolean exchangesLists = true;

    @Test
    void aRouterThatMissedTheNewListIsNotGrantedAKey() {
        claimAtARouterThatMissedTheNewList(ClaimRules.ALL);

        assertThat(world.grants()).isEqualTo(1);
        assertThat(world.violation()).isEmpty();
    }

    @Test
    void withoutEvidenceOfOldListsARouterThatMissedTheNewListRunsTheKeyAgain() {
        claimAtARouterThatMissedTheNewList(Mutants.without("evidenceOfOldLists"));

        assertThat(world.violation()).isPresent();
    }

    @Test
    void routersThatRestartedWithAStaleListDoNotReviveIt() {
        claimAmongRoutersThatRestartedWithAStaleList(ClaimRules.ALL);

        assertThat(world.grants()).isEqualTo(1);
        assertThat(world.violation()).isEmpty();
    }

    @Test
    void withEvidenceOfRestartedRoutersAStaleListRunsTheKeyAgain() {
        claimAmongRoutersThatRestartedWithAStaleList(Mutants.without("restartedEvidenceIsVoid"));

        assertThat(world.violation()).isPresent();
    }

    @Test
    void aRouterThatLacksAnOlderListOfItsPeersDoesNotSkipIt() {
        claimAtARouterThatLacksAnOlderList(ClaimRules.ALL);

        assertThat(world.grants()).isEqualTo(1);
        assertThat(world.violation()).isEmpty();
    }

    @Test
    void withoutTheListsOfItsPeersARouterRunsTheKeyAgain() {
        claimAtARouterThatLacksAnOlderList(Mutants.without("peersListsAreKnown"));

        assertThat(world.violation()).isPresent();
    }

    /** The schedule that the exhaustive check found before the rule was there. */
    private void claimAtARouterThatLacksAnOlderList(ClaimRules rules) {
        startWithFirstList(rules, "a", "b", "c");
        world.start("d", 0);
        learn(secondList("b", "c", "d"), "b", "d");
        exchangesLists = false;
        advanceOverTheMargin();
        IdempotencyKey key = newKey();

        world.claim("a", key);
        settleAmong(Set.of("a", "b"));
        world.claim("d", key);
        settleAmong(Set.of("c", "d"));
    }

    private void claimAtARouterThatMissedTheNewList(ClaimRules rules) {
        startWithFirstList(rules, "a", "b", "c");
        useSecondList("c", "d", "e");
        learn(secondList("c", "d", "e"), "b");
        advanceOverTheMargin();
        IdempotencyKey key = newKey();

        world.claim("a", key);
        settleAmong(Set.of("a", "b"));
        world.claim("d", key);
        settleAmong(Set.of("d", "e"));
    }

    private void claimAmongRoutersThatRestartedWithAStaleList(ClaimRules rules) {
        VoterList firstList = startWithFirstList(rules, "a", "b", "c", "d", "e");
        useSecondList("b", "c", "d", "e", "f");
        advanceOverTheMargin();
        IdempotencyKey key = newKey();

        world.claim("f", key);
        settleAmong(Set.of("b", "c", "f"));
        world.inFlight.clear();
        for (String restarted : List.of("b", "c")) {
            world.start(restarted, 0);
            world.learn(restarted, firstList);
        }
        world.inFlight.clear();
        advance(10);
        world.claim("a", key);
        settleAmong(Set.of("a", "d", "e"));
    }

    private VoterList startWithFirstList(ClaimRules rules, String... vmIds) {
        world = new ClaimSimulation(SETTINGS, rules);
        VoterList list = list(1, vmIds);
        for (String vmId : vmIds) {
            world.start(vmId, 0);
        }
        learn(list, vmIds);
        settleAmong(ALL);
        advanceOverTheMargin();
        return list;
    }

    private void useSecondList(String... vmIds) {
        for (String vmId : vmIds) {
            if (!world.routers.containsKey(vmId)) {
                world.start(vmId, 0);
            }
        }
        learn(secondList(vmIds), vmIds);
    }

    private void learn(VoterList list, String... vmIds) {
        for (String vmId : vmIds) {
            world.learn(vmId, list);
        }
    }

    private void advanceOverTheMargin() {
        for (int i = 0; i < 10; i++) {
            advance(10);
        }
    }

    private void advance(long millis) {
        world.advance(millis);
        settleAmong(ALL);
    }

    /** Delivers the messages among some routers; a learns of no newer list. */
    private void settleAmong(Set<String> vmIds) {
        boolean progress = true;
        while (progress) {
            world.inFlight.removeIf(this::isLost);
            List<InFlight> due =
                    world.inFlight.stream()
                            .filter(message -> vmIds.contains(message.from().vmId()))
                            .filter(message -> vmIds.contains(message.toVmId()))
                            .toList();
            due.forEach(world::deliver);
            progress = !due.isEmpty();
        }
    }

    private boolean isLost(InFlight message) {
        return message.message() instanceof ClaimMessage.ListOffer
                && (message.toVmId().equals("a") || !exchangesLists);
    }

    private IdempotencyKey newKey() {
        return UuidKeys.at(ClaimSimulation.EPOCH_MILLIS + world.nowMillis(), 1);
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
