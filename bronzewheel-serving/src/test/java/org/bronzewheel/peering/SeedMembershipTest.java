package org.bronzewheel.peering;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import org.bronzewheel.wire.SeedHello;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SeedMembershipTest {
    private static final int ROUTERS = 9;
    private static final long STEP_MILLIS = 350;
    private static final int HEADER_BYTES = 66;

    private final List<SeedMembership> routers = new ArrayList<>();
    private final Set<Integer> dead = new HashSet<>();
    private long nowMillis;
    private long sentMessages;
    private long sentBytes;

    private void create(int count) {
        for (int i = 0; i < count; i++) {
            routers.add(create(i, 1));
        }
    }

    private SeedMembership create(int index, long incarnation) {
        return new SeedMembership(
                vm(index),
                incarnation,
                List.of(vm(0), vm(1), vm(2)),
                20,
                new SplittableRandom(index),
                nowMillis);
    }

    private static boolean always(int from, int to) {
        return true;
    }

    private static String vm(int index) {
        return "10.0." + index / 100 + "." + index % 100;
    }

    private static int index(String vmId) {
        String[] parts = vmId.split("\\.", -1);
        return Integer.parseInt(parts[2]) * 100 + Integer.parseInt(parts[3]);
    }

    private void steps(int count, BiPredicate<Integer, Integer> reaches) {
        for (int step = 0; step < count; step++) {
            nowMillis += STEP_MILLIS;
            for (int from = 0; from < routers.size(); from++) {
                if (!dead.contains(from)) {
                    step(from, reaches);
                }
            }
        }
    }

    private void step(int from, BiPredicate<Integer, Integer> reaches) {
        HeartbeatMessage heartbeats = routers.get(from).nextMessage(nowMillis);
        SeedHello message = HeartbeatService.encode(heartbeats).build();
        for (String target : routers.get(from).targets(nowMillis)) {
            int to = index(target);
            sentMessages++;
            sentBytes += message.getSerializedSize() + HEADER_BYTES;
            if (!dead.contains(to) && reaches.test(from, to)) {
                routers.get(to).receive(HeartbeatService.decode(message), nowMillis);
            }
        }
    }

    private Set<String> owners(int first, int last) {
        Set<String> owners = new HashSet<>();
        for (int i = first; i < last; i++) {
            if (!dead.contains(i)) {
                owners.add(routers.get(i).ownerOf("s", Set.of(), nowMillis));
            }
        }
        return owners;
    }

    private String owner(int last) {
        Set<String> owners = owners(0, last);
        assertThat(owners).hasSize(1);
        return owners.iterator().next();
    }

    @ParameterizedTest
    @CsvSource({"9, 5", "13, 12", "81, 20", "390, 40"})
    void allRoutersDiscoverEachOtherThroughSeedsAndAgreeOnOwners(int count, int steps) {
        create(count);
        steps(steps, SeedMembershipTest::always);
        for (SeedMembership router : routers) {
            assertThat(router.live(nowMillis)).hasSize(count);
        }
        assertThat(owners(0, count)).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 81, 390})
    void noLiveRouterIsEverReportedSilent(int count) {
        create(count);
        steps(60, SeedMembershipTest::always);
        for (int step = 0; step < 60; step++) {
            steps(1, SeedMembershipTest::always);
            for (SeedMembership router : routers) {
                assertThat(router.live(nowMillis)).hasSize(count);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {81, 390})
    void theTrafficPerRouterDoesNotGrowWithTheFleet(int count) {
        create(count);
        steps(60, SeedMembershipTest::always);
        sentMessages = 0;
        sentBytes = 0;
        steps(60, SeedMembershipTest::always);
        double seconds = 60 * STEP_MILLIS / 1_000.0;
        assertWithMessage("messages a second").that(sentMessages / seconds / count).isLessThan(18);
        assertWithMessage("bytes a second").that(sentBytes / seconds / count).isLessThan(22_000);
    }

    @ParameterizedTest
    @CsvSource({"9, 1300", "81, 6000", "390, 17500"})
    void aDeadRouterIsDetectedByAll(int count, long withinMillis) {
        create(count);
        steps(60, SeedMembershipTest::always);
        dead.add(count / 2);
        steps((int) (withinMillis / STEP_MILLIS) + 1, SeedMembershipTest::always);
        for (int i = 0; i < count; i++) {
            if (i != count / 2) {
                assertThat(routers.get(i).live(nowMillis)).doesNotContain(vm(count / 2));
            }
        }
    }

    // Guards against a stall of a router that makes all others seem silent to it.
    @ParameterizedTest
    @CsvSource({"9, 4", "81, 60"})
    void aRouterThatAloneStalledStillHoldsTheOthersForLive(int count, int stalledSteps) {
        create(count);
        steps(60, SeedMembershipTest::always);
        SeedMembership stalled = routers.get(5);
        String owner = stalled.ownerOf("s", Set.of(), nowMillis);
        dead.add(5);
        steps(stalledSteps, SeedMembershipTest::always);
        assertThat(stalled.live(nowMillis)).hasSize(count);
        assertThat(stalled.ownerOf("s", Set.of(), nowMillis)).isEqualTo(owner);
    }

    @Test
    void aRouterThatDiedDuringAStallIsDetectedOnceTheStallIsOver() {
        create(ROUTERS);
        steps(20, SeedMembershipTest::always);
        dead.addAll(Set.of(4, 5));
        steps(4, SeedMembershipTest::always);
        dead.remove(5);
        steps((int) (1_300 / STEP_MILLIS) + 1, SeedMembershipTest::always);
        assertThat(routers.get(5).live(nowMillis)).doesNotContain(vm(4));
        assertThat(routers.get(5).live(nowMillis)).hasSize(ROUTERS - 1);
    }

    @Test
    void eachSideOfAPartitionHasAnOwnerAndCountsAllRoutersForSharedLimits() {
        create(ROUTERS);
        steps(20, SeedMembershipTest::always);
        steps(6, (from, to) -> (from < 3) == (to < 3));
        assertThat(owners(0, 3)).hasSize(1);
        assertThat(owners(3, ROUTERS)).hasSize(1);
        assertThat(routers.get(0).routers(nowMillis)).isEqualTo(ROUTERS);
        steps(6, SeedMembershipTest::always);
        assertThat(owners(0, ROUTERS)).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 81})
    void theSidesOfALongPartitionRejoinWithoutSeeds(int count) {
        create(count);
        steps(40, SeedMembershipTest::always);
        dead.addAll(Set.of(0, 1, 2));
        steps(200, (from, to) -> (from < count / 2) == (to < count / 2));
        steps(80, SeedMembershipTest::always);
        for (int i = 3; i < count; i++) {
            assertThat(routers.get(i).live(nowMillis)).hasSize(count - 3);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {9, 81})
    void aLeavingRouterSoonOwnsNothing(int count) {
        create(count);
        steps(40, SeedMembershipTest::always);
        String owner = owner(count);
        routers.get(index(owner)).leave();
        steps(count == ROUTERS ? 1 : 8, SeedMembershipTest::always);
        assertThat(owner(count)).isNotEqualTo(owner);
    }

    @Test
    void aSuspectedRouterOwnsNothingUntilItsNextHeartbeat() {
        create(ROUTERS);
        steps(5, SeedMembershipTest::always);
        String owner = owner(ROUTERS);
        SeedMembership other = routers.get(index(owner) == 0 ? 1 : 0);
        other.suspect(owner, nowMillis);
        assertThat(other.ownerOf("s", Set.of(), nowMillis)).isNotEqualTo(owner);
        steps(1, SeedMembershipTest::always);
        assertThat(other.ownerOf("s", Set.of(), nowMillis)).isEqualTo(owner);
    }

    @ParameterizedTest
    @CsvSource({"9, 2", "9, -7", "81, 2", "81, -7"})
    void aRestartedRouterIsAcceptedWithAResetCountEvenAfterAClockStepBack(
            int count, long incarnation) {
        create(count);
        steps(40, SeedMembershipTest::always);
        dead.add(4);
        steps(20, SeedMembershipTest::always);
        dead.remove(4);
        routers.set(4, create(4, incarnation));
        steps(count == ROUTERS ? 3 : 20, SeedMembershipTest::always);
        assertThat(routers.get(8).live(nowMillis)).contains(vm(4));
    }

    @Test
    void aLongSilentRouterIsNoLongerListedOrContactedByAll() {
        create(ROUTERS);
        steps(40, SeedMembershipTest::always);
        dead.add(4);
        steps(3 * 15_000 / (int) STEP_MILLIS, SeedMembershipTest::always);
        for (int i = 0; i < ROUTERS; i++) {
            if (i != 4) {
                assertThat(routers.get(i).nextMessage(nowMillis).others().toString())
                        .doesNotContain(vm(4));
            }
        }
        sentMessages = 0;
        steps(100, SeedMembershipTest::always);
        // Each of 8 routers sends to 7 others, and occasionally to the lost one.
        assertThat(sentMessages).isAtMost(100 * 8 * 7 + 100 * 8 / 4);
        steps(2 * 600_000 / (int) STEP_MILLIS, SeedMembershipTest::always);
        for (int i = 0; i < ROUTERS; i++) {
            assertThat(routers.get(i).targets(nowMillis)).doesNotContain(vm(4));
        }
    }

    // Guards against sides of a long cut that each take themselves for the whole fleet.
    @Test
    void routersThatAreSilentForMinutesExistUntilTheyAreForgotten() {
        create(ROUTERS);
        steps(20, SeedMembershipTest::always);
        steps(500_000 / (int) STEP_MILLIS, (from, to) -> (from < 3) == (to < 3));
        assertThat(routers.get(0).routers(nowMillis)).isEqualTo(3);
        // The assumed number still applies, as it is larger than the fleet.
        assertThat(routers.get(0).existingRouters(nowMillis)).isEqualTo(20);
        steps(150_000 / (int) STEP_MILLIS, (from, to) -> (from < 3) == (to < 3));
        assertThat(routers.get(0).existingRouters(nowMillis)).isEqualTo(3);
    }

    // Guards against cold limits that stay restricted in a fleet that was scaled down in order.
    @Test
    void routersThatHaveLeftDoNotExist() {
        create(20);
        steps(40, SeedMembershipTest::always);
        assertThat(routers.get(0).existingRouters(nowMillis)).isEqualTo(20);
        for (int i = 15; i < 20; i++) {
            routers.get(i).leave();
        }
        steps(20, SeedMembershipTest::always);
        assertThat(routers.get(0).existingRouters(nowMillis)).isEqualTo(15);
    }

    // Guards against a router that starts on a side of a cut and grants what the whole fleet may.
    @Test
    void aRouterAssumesManyRoutersForTenMinutesUntilItHasHeardThem() {
        create(3);
        steps(20, SeedMembershipTest::always);
        assertThat(routers.get(0).existingRouters(599_999)).isEqualTo(20);
        assertThat(routers.get(0).existingRouters(600_000)).isEqualTo(3);
    }

    @Test
    void aNewRouterAssumesManyRouters() {
        create(1);
        assertThat(routers.get(0).routers(0)).isEqualTo(20);
    }

    // A small VM must not become the owner of the stage jobs of a whole fleet.
    @ParameterizedTest
    @ValueSource(ints = {6, 30, 95, 390})
    void onlyRoutersWithAtLeastHalfTheLargestCapacityAreOwners(int count) {
        create(count);
        for (int i = 0; i < count; i++) {
            routers.get(i).setCapacity(capacity(i));
        }
        steps(30, SeedMembershipTest::always);
        for (int key = 0; key < 50; key++) {
            Set<String> owners = new HashSet<>();
            for (int i = 0; i < count; i += Math.max(1, count / 12)) {
                owners.add(routers.get(i).ownerOf("thing/" + key, Set.of(), nowMillis));
            }
            assertThat(owners).hasSize(1);
            assertThat(capacity(index(owners.iterator().next()))).isAtLeast(700);
        }
    }

    private static int capacity(int index) {
        return 70 + 1_330 * (index % 5) / 4;
    }

    @Test
    void aSmallRouterBecomesOwnerOnceTheLargeOnesAreGone() {
        create(3);
        routers.get(0).setCapacity(1_000);
        routers.get(1).setCapacity(100);
        routers.get(2).setCapacity(100);
        steps(5, SeedMembershipTest::always);
        assertThat(owners(0, 3)).containsExactly(vm(0));
        dead.add(0);
        steps(10, SeedMembershipTest::always);
        assertThat(owners(1, 3)).hasSize(1);
        assertThat(owners(1, 3)).doesNotContain(vm(0));
    }
}
