package org.bronzewheel.document;

import static com.google.common.truth.Truth.assertThat;
import static org.bronzewheel.document.RelayFixture.document;
import static org.bronzewheel.document.RelayFixture.version;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class RelayMachineTest {
    record OfferCase(
            String name,
            RevisionedDocument offered,
            DocumentVersion inForceAfter,
            List<DocumentVersion> refused) {
        @Override
        public String toString() {
            return name;
        }
    }

    /** Documents presented to a fleet in which revision 17 is accepted and 18 was refused. */
    static Stream<OfferCase> offers() {
        DocumentVersion bad = version(18, "bad");
        return Stream.of(
                new OfferCase(
                        "a higher valid revision",
                        document(19, "next"),
                        version(19, "next"),
                        List.of(bad)),
                new OfferCase(
                        "a higher invalid revision",
                        document(19, "bad too"),
                        version(17, "good"),
                        List.of(bad, version(19, "bad too"))),
                new OfferCase(
                        "a lower revision",
                        document(16, "before"),
                        version(17, "good"),
                        List.of(bad)),
                new OfferCase(
                        "the revision in force again",
                        document(17, "good"),
                        version(17, "good"),
                        List.of(bad)),
                new OfferCase(
                        "the revision in force with other content",
                        document(17, "other"),
                        version(17, "good"),
                        List.of(bad, version(17, "other"))),
                new OfferCase(
                        "the refused revision again",
                        document(18, "bad"),
                        version(17, "good"),
                        List.of(bad)),
                new OfferCase(
                        "the refused revision with valid content",
                        document(18, "corrected"),
                        version(17, "good"),
                        List.of(bad, version(18, "corrected"))));
    }

    @ParameterizedTest
    @MethodSource("offers")
    void aDocumentReadFromThePlatformIsAcceptedOrRefusedAsAWhole(OfferCase offer) {
        RelayFixture fleet = RelayFixture.healthy(1, 1);
        prepare(fleet);

        fleet.platform.setReplica(after -> Optional.of(offer.offered()));
        fleet.network.runFor(20_000);

        assertState(fleet.relay(0), offer);
    }

    @ParameterizedTest
    @MethodSource("offers")
    void aDocumentAnnouncedByAPeerIsAcceptedOrRefusedAsAWhole(OfferCase offer) {
        RelayFixture fleet = RelayFixture.healthy(2, 1);
        prepare(fleet);
        fleet.platform.setUp(false);

        // The peer restarts without state and reads the document from a stale or wrong replica.
        fleet.network.setPartition((from, to) -> true);
        VirtualRelay other = fleet.start(1);
        other.setPeers(new RelayPeers(List.of("vm-0"), true, 2));
        fleet.platform.setUp(true);
        fleet.platform.setReplica(after -> Optional.of(offer.offered()));
        fleet.relay(0).setPeers(new RelayPeers(List.of("vm-1"), false, 2));
        fleet.network.runFor(15_000);
        fleet.network.setPartition((from, to) -> false);
        fleet.platform.setUp(false);
        fleet.network.runFor(20_000);

        assertState(fleet.relay(0), offer);
    }

    @Test
    void aRefusedVersionIsCheckedOnceHoweverOftenItIsOffered() {
        RelayFixture fleet = RelayFixture.healthy(5, 2);
        fleet.platform.publish(document(1, "bad"));
        fleet.startAll();

        fleet.network.runFor(120_000);

        fleet.relays.values().forEach(relay -> assertThat(relay.checks()).hasSize(1));
        fleet.relays.values().forEach(relay -> assertThat(relay.refused()).hasSize(1));
    }

    @Test
    void aFirstStartWithThePlatformDownGetsTheDocumentFromItsPeers() {
        RelayFixture fleet = RelayFixture.healthy(4, 2);
        fleet.platform.publish(document(1, "good"));
        fleet.startAll();
        fleet.network.runFor(5_000);
        fleet.platform.setUp(false);

        VirtualRelay restarted = fleet.start(0);
        fleet.network.runFor(5_000);

        assertThat(restarted.accepted()).containsExactly(version(1, "good"));
    }

    @Test
    void aRestartedRouterGetsTheAcceptedVersionWhereThePlatformOffersARefusedOne() {
        RelayFixture fleet = RelayFixture.healthy(3, 3);
        fleet.platform.publish(document(1, "good"));
        fleet.startAll();
        fleet.network.runFor(5_000);
        fleet.platform.publish(document(2, "bad"));
        fleet.network.runFor(5_000);

        VirtualRelay restarted = fleet.start(0);
        fleet.network.runFor(5_000);

        assertThat(restarted.accepted()).containsExactly(version(1, "good"));
        assertThat(restarted.refused()).containsExactly(version(2, "bad"));
    }

    @Test
    void aRouterWithoutPeersReadsThePlatformItself() {
        RelayFixture fleet = RelayFixture.healthy(4, 2);
        fleet.startAll();
        fleet.network.runFor(5_000);
        fleet.network.setPartition((from, to) -> from.equals("vm-3") || to.equals("vm-3"));
        fleet.platform.publish(document(1, "good"));

        fleet.network.runFor(RelayFixture.SETTINGS.staleAfterMillis() + 10_000);

        assertThat(fleet.relay(3).accepted()).containsExactly(version(1, "good"));
    }

    @Test
    void readsOfAnUnavailablePlatformStayWithinTheSharedBudget() {
        RelayFixture fleet = RelayFixture.healthy(60, 2);
        fleet.platform.publish(document(1, "good"));
        fleet.startAll();
        fleet.network.runFor(10_000);
        fleet.platform.setUp(false);
        fleet.network.runFor(60_000);
        long before = fleet.platform.reads();

        fleet.network.runFor(60_000);

        long budget = 60L * RelayFixture.SETTINGS.staleReadsPerSecond() * 2;
        assertThat(fleet.platform.reads() - before).isLessThan(budget);
    }

    private static void prepare(RelayFixture fleet) {
        fleet.platform.publish(document(17, "good"));
        fleet.startAll();
        fleet.network.runFor(3_000);
        fleet.platform.publish(document(18, "bad"));
        fleet.network.runFor(3_000);
        VirtualRelay relay = fleet.relay(0);
        assertThat(relay.accepted()).containsExactly(version(17, "good"));
        assertThat(relay.refused()).containsExactly(version(18, "bad"));
    }

    private static void assertState(VirtualRelay relay, OfferCase offer) {
        DocumentVersion inForce = relay.accepted().get(relay.accepted().size() - 1);
        assertThat(inForce).isEqualTo(offer.inForceAfter());
        assertThat(relay.refused()).containsExactlyElementsIn(offer.refused());
    }
}
