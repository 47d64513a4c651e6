package org.bronzewheel.catalog;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class EffectiveRanksTest {
    private static ServiceRoute route(int priority) {
        return new ServiceRoute(
                "r" + priority,
                "h",
                "/",
                false,
                RetryRule.IDEMPOTENT,
                1_000,
                100,
                0,
                0,
                priority,
                1,
                List.of(new ServiceShare("s", 1)),
                List.of(),
                false);
    }

    private static WorkspaceEntry workspace(int priority) {
        return new WorkspaceEntry("w" + priority, List.of(), OptionalInt.of(priority));
    }

    private static WorkspaceEntry unnamed() {
        return new WorkspaceEntry("none", List.of(), OptionalInt.empty());
    }

    private static EffectiveRanks ranks(List<Integer> routes, WorkspaceEntry... workspaces) {
        return new Catalog(
                        1,
                        routes.stream().map(EffectiveRanksTest::route).toList(),
                        List.of(),
                        CallerAccess.withKeys(List.of(workspaces)),
                        new CallerLimits(1, 1, 1, 1))
                .ranks();
    }

    private static int value(EffectiveRanks ranks, int route, WorkspaceEntry workspace) {
        return ranks.of(route(route), Optional.of(workspace)).value();
    }

    // Guards against an urgent route that passes a more urgent workspace.
    @Test
    void workspacePrecedesRouteWithoutGaps() {
        EffectiveRanks ranks = ranks(List.of(0, 1, 2), workspace(0), workspace(1));
        List<Integer> inOrder = new ArrayList<>();
        for (int workspace = 0; workspace < 2; workspace++) {
            for (int route = 0; route < 3; route++) {
                inOrder.add(value(ranks, route, workspace(workspace)));
            }
        }
        assertThat(inOrder).containsExactly(0, 1, 2, 3, 4, 5).inOrder();
        assertThat(ranks.count()).isEqualTo(6);
        assertThat(ranks.distinguishWorkspaces()).isTrue();
    }

    // Guards against large gaps between priorities that become large ranks.
    @Test
    void gapsBetweenPrioritiesDoNotCount() {
        EffectiveRanks ranks = ranks(List.of(10, 700), workspace(90), workspace(5));
        assertThat(value(ranks, 10, workspace(5))).isEqualTo(0);
        assertThat(value(ranks, 700, workspace(5))).isEqualTo(1);
        assertThat(value(ranks, 10, workspace(90))).isEqualTo(2);
        assertThat(value(ranks, 700, workspace(90))).isEqualTo(3);
    }

    // Guards against a change for configurations that do not use the priority of workspaces.
    @Test
    void rankIsThatOfTheRouteWhereWorkspacesCountTheSame() {
        for (EffectiveRanks ranks :
                List.of(
                        ranks(List.of(0, 2, 6)),
                        ranks(List.of(0, 2, 6), unnamed(), unnamed()),
                        ranks(List.of(0, 2, 6), workspace(3), workspace(3), unnamed()))) {
            assertThat(ranks.distinguishWorkspaces()).isFalse();
            assertThat(value(ranks, 2, unnamed())).isEqualTo(2);
            assertThat(ranks.of(route(6), Optional.empty())).isEqualTo(new EffectiveRank(6, 9));
            assertThat(ranks.of(route(2), Optional.empty()).engineUrgency()).isEqualTo(5);
            assertThat(ranks.count()).isEqualTo(7);
        }
    }

    @Test
    void requestsWithoutAPriorityCountAsTheLeastUrgentWorkspace() {
        EffectiveRanks ranks = ranks(List.of(0, 1), workspace(0), workspace(4), unnamed());
        assertThat(value(ranks, 0, unnamed())).isEqualTo(2);
        assertThat(ranks.of(route(1), Optional.empty()).value()).isEqualTo(3);
    }

    // Guards against ranks out of range for a request that outlives its configuration.
    @Test
    void prioritiesOfAnotherVersionStillHaveARankInOrder() {
        EffectiveRanks ranks = ranks(List.of(1, 3), workspace(1), workspace(5));
        assertThat(value(ranks, 0, workspace(0))).isEqualTo(0);
        assertThat(value(ranks, 2, workspace(3))).isEqualTo(3);
        assertThat(value(ranks, 9, workspace(9))).isEqualTo(3);
    }

    // Guards against several ranks of a workspace that an engine cannot tell apart.
    @Test
    void urgencyIncreasesStrictlyWithTheRankUpToNineRanks() {
        for (int routes = 2; routes <= 4; routes++) {
            List<Integer> priorities = IntStream.range(0, routes).boxed().toList();
            EffectiveRanks ranks = ranks(priorities, workspace(0), workspace(1));
            List<Integer> urgencies = new ArrayList<>();
            for (int workspace = 0; workspace < 2; workspace++) {
                for (int route : priorities) {
                    urgencies.add(
                            ranks.of(route(route), Optional.of(workspace(workspace)))
                                    .engineUrgency());
                }
            }
            assertThat(urgencies).isInStrictOrder();
            assertThat(urgencies.get(0)).isEqualTo(1);
            assertThat(urgencies.get(urgencies.size() - 1)).isAtMost(9);
        }
    }
}
