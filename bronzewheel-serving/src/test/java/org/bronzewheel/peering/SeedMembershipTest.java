package org.bronzewheel.peering;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;

class SeedMembershipTest {
    private static final int ROUTERS = 9;
    private static final long STEP_MILLIS = 350;

    private final List<SeedMembership> routers = new ArrayList<>();
    private long nowMillis;

    SeedMembershipTest() {
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(new SeedMembership(vm(i), 1, List.of(vm(0), vm(1)), 20, 0));
        }
    }

    private static String vm(int index) {
        return "10.0.0." + index;
    }

    private void steps(int count, BiPredicate<Integer, Integer> reaches) {
        for (int step = 0; step < count; step++) {
            nowMillis += STEP_MILLIS;
            for (int from = 0; from < ROUTERS; from++) {
                Hello hello = routers.get(from).hello();
                for (String target : routers.get(from).targets(nowMillis)) {
                    int to = Integer.parseInt(target.substring(target.lastIndexOf('.') + 1));
                    if (reaches.test(from, to)) {
                        routers.get(to).receive(hello, nowMillis);
                    }
                }
            }
        }
    }

    private Set<String> owners(int first, int last) {
        Set<String> owners = new java.util.HashSet<>();
        for (int i = first; i < last; i++) {
            owners.add(routers.get(i).ownerOf("s", Set.of(), nowMillis));
        }
        return owners;
    }

    @Test
    void allFindEachOtherThroughTheSeedsAndAgreeOnOwners() {
        steps(5, (from, to) -> true);
        for (SeedMembership router : routers) {
            assertThat(router.live(nowMillis)).hasSize(ROUTERS);
        }
        assertThat(owners(0, ROUTERS)).hasSize(1);
    }

    @Test
    void eachSideOfACutHasAnOwnerOfItsOwnAndCountsAllForSharedLimits() {
        steps(20, (from, to) -> true);
        steps(6, (from, to) -> (from < 3) == (to < 3));
        assertThat(owners(0, 3)).hasSize(1);
        assertThat(owners(3, ROUTERS)).hasSize(1);
        assertThat(routers.get(0).routers(nowMillis)).isEqualTo(ROUTERS);
        steps(6, (from, to) -> true);
        assertThat(owners(0, ROUTERS)).hasSize(1);
    }

    @Test
    void aRouterThatLeavesOwnsNothingAtOnce() {
        steps(5, (from, to) -> true);
        String owner = owners(0, ROUTERS).iterator().next();
        routers.stream().filter(r -> r.hello().vmId().equals(owner)).forEach(SeedMembership::leave);
        steps(1, (from, to) -> true);
        assertThat(owners(0, ROUTERS)).hasSize(1);
        assertThat(owners(0, ROUTERS)).doesNotContain(owner);
    }

    @Test
    void aYoungRouterAssumesManyOthers() {
        assertThat(routers.get(0).routers(0)).isEqualTo(20);
    }
}
