package org.bronzewheel.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.function.BiPredicate;
import java.util.stream.Stream;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmList;
import org.bronzewheel.vm.VmState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Membership under faults, in virtual time. */
class MembershipFaultTest {
    private static final String VICTIM = VirtualFleet.vmId(1);
    private static final int DOMAINS = 3;
    private static final long DETECTION_MILLIS = 12_000;
    private static final long LONG_MILLIS = 120_000;

    record LinkCase(String name, int size, BiPredicate<String, String> cut, MemberHealth expected) {
        @Override
        public String toString() {
            return name + " among " + size;
        }
    }

    static Stream<LinkCase> links() {
        String observer = VirtualFleet.vmId(0);
        return Stream.of(3, 9, 30)
                .flatMap(
                        size ->
                                Stream.of(
                                        new LinkCase(
                                                "a link that is cut one way",
                                                size,
                                                (a, b) -> a.equals(observer) && b.equals(VICTIM),
                                                MemberHealth.ALIVE),
                                        new LinkCase(
                                                "a link that is cut both ways",
                                                size,
                                                (a, b) ->
                                                        List.of(observer, VICTIM).contains(a)
                                                                && List.of(observer, VICTIM)
                                                                        .contains(b),
                                                MemberHealth.ALIVE),
                                        new LinkCase(
                                                "a router that hears nothing",
                                                size,
                                                (a, b) -> b.equals(VICTIM),
                                                MemberHealth.SUSPECT),
                                        new LinkCase(
                                                "a router that nobody hears",
                                                size,
                                                (a, b) -> a.equals(VICTIM),
                                                MemberHealth.SUSPECT)));
    }

    @ParameterizedTest
    @MethodSource("links")
    void aCutLinkLeadsToOneStableHealthEverywhere(LinkCase link) {
        VirtualFleet fleet = VirtualFleet.settled(1, link.size(), DOMAINS);
        fleet.network.setPartition(link.cut());
        fleet.network.runFor(LONG_MILLIS);

        long expectedChanges = link.expected() == MemberHealth.SUSPECT ? 1 : 0;
        for (VirtualRouter router : fleet.others(VICTIM)) {
            assertThat(router.healthOf(VICTIM)).isEqualTo(link.expected());
            assertWithMessage("changes seen by %s", router.self)
                    .that(router.changesOf(VICTIM))
                    .isEqualTo(expectedChanges);
        }
        fleet.network.setPartition((a, b) -> false);
        fleet.network.runFor(DETECTION_MILLIS);
        assertAllAlive(fleet);
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 9, 30, 100})
    void aDeadRouterIsSuspectedEverywhereAndAliveAfterItsRestart(int size) {
        VirtualFleet fleet = VirtualFleet.settled(2, size, DOMAINS);
        fleet.kill(VICTIM);
        fleet.network.runFor(DETECTION_MILLIS);
        fleet.others(VICTIM)
                .forEach(r -> assertThat(r.healthOf(VICTIM)).isEqualTo(MemberHealth.SUSPECT));

        fleet.start(VICTIM);
        fleet.network.runFor(DETECTION_MILLIS);
        assertAllAlive(fleet);
        long incarnation = fleet.router(1).self.incarnation();
        fleet.others(VICTIM)
                .forEach(
                        r ->
                                assertThat(r.view().find(VICTIM).orElseThrow().incarnation())
                                        .isEqualTo(incarnation));
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 9, 30})
    void aShortPauseRaisesNoSuspicion(int size) {
        VirtualFleet fleet = VirtualFleet.settled(3, size, DOMAINS);
        fleet.network.pause(VICTIM);
        fleet.network.runFor(1_500);
        fleet.network.resume(VICTIM);
        fleet.network.runFor(LONG_MILLIS);

        for (VirtualRouter observer : fleet.routers.values()) {
            for (VirtualRouter other : fleet.others(observer.self.vmId())) {
                assertThat(observer.changesOf(other.self.vmId())).isEqualTo(0);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 9, 30})
    void aLongPauseIsSuspectedOnceAndThePausedRouterSuspectsNobody(int size) {
        VirtualFleet fleet = VirtualFleet.settled(4, size, DOMAINS);
        fleet.network.pause(VICTIM);
        fleet.network.runFor(30_000);
        fleet.network.resume(VICTIM);
        fleet.network.runFor(LONG_MILLIS);

        assertAllAlive(fleet);
        for (VirtualRouter observer : fleet.others(VICTIM)) {
            assertThat(observer.changesOf(VICTIM)).isEqualTo(2);
            assertThat(fleet.router(1).changesOf(observer.self.vmId())).isEqualTo(0);
        }
    }

    @Test
    void aPartitionedFailureDomainKeepsWorkingAndRejoins() {
        VirtualFleet fleet = VirtualFleet.settled(5, 60, DOMAINS);
        fleet.network.setPartition(
                (a, b) ->
                        domain(fleet, a).equals("domain-0") != domain(fleet, b).equals("domain-0"));
        fleet.network.runFor(LONG_MILLIS);
        for (VirtualRouter router : fleet.routers.values()) {
            String own = domain(fleet, router.self.vmId());
            for (Member member : router.view().members()) {
                boolean sameSide =
                        member.vm().failureDomain().equals("domain-0") == own.equals("domain-0");
                assertThat(member.health())
                        .isEqualTo(sameSide ? MemberHealth.ALIVE : MemberHealth.SUSPECT);
            }
        }
        fleet.changeList(vm -> vm);
        fleet.publishConfiguration(1, 1_000);
        fleet.network.runFor(5_000);
        fleet.routers.values().forEach(r -> assertThat(r.view().list().revision()).isEqualTo(2));
        fleet.routers.values().forEach(r -> assertThat(r.configuration()).isNotNull());

        fleet.network.setPartition((a, b) -> false);
        fleet.network.runFor(LONG_MILLIS);
        assertAllAlive(fleet);
    }

    @Test
    void anIsolatedRouterSuspectsAllAndSpreadsNoSuspicion() {
        VirtualFleet fleet = VirtualFleet.settled(6, 30, DOMAINS);
        fleet.network.setPartition((a, b) -> a.equals(VICTIM) || b.equals(VICTIM));
        fleet.network.runFor(DETECTION_MILLIS);
        fleet.others(VICTIM)
                .forEach(
                        r ->
                                assertThat(fleet.router(1).healthOf(r.self.vmId()))
                                        .isEqualTo(MemberHealth.SUSPECT));

        fleet.network.setPartition((a, b) -> false);
        fleet.network.runFor(DETECTION_MILLIS);

        assertAllAlive(fleet);
        for (VirtualRouter observer : fleet.others(VICTIM)) {
            for (VirtualRouter other : fleet.others(VICTIM)) {
                assertThat(observer.changesOf(other.self.vmId())).isEqualTo(0);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 30, 100})
    void anAnnouncedLeaveIsSeenByAllRoutersAtOnce(int size) {
        VirtualFleet fleet = VirtualFleet.settled(7, size, DOMAINS);

        fleet.router(1).announceLeaving();
        fleet.network.runFor(10);

        fleet.routers
                .values()
                .forEach(r -> assertThat(r.healthOf(VICTIM)).isEqualTo(MemberHealth.LEAVING));
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 30, 100})
    void aPublishedLeavingVmIsKnownEverywhereInThreeSeconds(int size) {
        VirtualFleet fleet = new VirtualFleet(8, size, DOMAINS, 5);
        fleet.startAll();
        fleet.network.runFor(30_000);

        fleet.changeList(vm -> vm.vmId().equals("upstream-2") ? leaving(vm) : vm);
        fleet.network.runFor(3_000);

        for (VirtualRouter router : fleet.routers.values()) {
            assertThat(router.view().presence("upstream-2")).isEqualTo(VmPresence.LEAVING);
            assertThat(router.view().presence("upstream-1")).isEqualTo(VmPresence.LIVE);
            assertThat(router.view().presence("upstream-9")).isEqualTo(VmPresence.ABSENT);
        }
    }

    @Test
    void aLowerOrEmptyListChangesNothing() {
        VirtualFleet fleet = VirtualFleet.settled(9, 9, DOMAINS);
        VmList full = fleet.list();
        fleet.publishList(new VmList(5, full.vms()));
        fleet.network.runFor(5_000);

        fleet.publishList(new VmList(4, full.vms().subList(0, 3)));
        fleet.network.runFor(5_000);
        fleet.publishList(new VmList(6, List.of()));
        fleet.network.runFor(30_000);

        for (VirtualRouter router : fleet.routers.values()) {
            assertThat(router.view().list()).isEqualTo(new VmList(5, full.vms()));
        }
    }

    @Test
    void lossAndDuplicationOfMessagesRaiseNoSuspicion() {
        VirtualFleet fleet = VirtualFleet.settled(10, 30, DOMAINS);
        fleet.network.setFaults(0.1, 0.1);

        fleet.network.runFor(LONG_MILLIS);

        assertAllAlive(fleet);
        fleet.routers.values().forEach(r -> assertThat(r.changesOf(VICTIM)).isEqualTo(0));
    }

    private static Vm leaving(Vm vm) {
        return new Vm(
                vm.vmId(),
                vm.role(),
                VmState.LEAVING,
                vm.failureDomain(),
                vm.peerAddress(),
                vm.httpAddress());
    }

    private static String domain(VirtualFleet fleet, String vmId) {
        return fleet.list().find(vmId).orElseThrow().failureDomain();
    }

    private static void assertAllAlive(VirtualFleet fleet) {
        for (VirtualRouter router : fleet.routers.values()) {
            for (Member member : router.view().members()) {
                assertWithMessage("%s as seen by %s", member.vm().vmId(), router.self)
                        .that(member.health())
                        .isEqualTo(MemberHealth.ALIVE);
            }
        }
    }
}
