package org.bronzewheel.upstreams;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.bronzewheel.catalog.ServiceEntry;
import org.junit.jupiter.api.Test;

class UpstreamTableTest {
    private static final Announcement LEAVING =
            new Announcement(
                    Announcement.Origin.OTHER, AnnouncedLimit.NONE, true, OptionalLong.empty());

    private final UpstreamTable table = new UpstreamTable(2_000);

    private static UpstreamEntry entry(String id, long startedMillis, boolean leaving) {
        return new UpstreamEntry(id, "s", "10.0.0.1:80", "d", 1, startedMillis, leaving);
    }

    private void announce(String id, Announcement announcement) {
        table.announcements().announced(entry(id, 0, false), announcement, 0, 0);
    }

    private List<String> serving() {
        return table.serving("s").stream().map(u -> u.entry().id()).toList();
    }

    @Test
    void aLeavingUpstreamGetsNoNewWork() {
        table.replaceAll(List.of(entry("a", 0, false), entry("b", 0, false)), 0);
        table.put(entry("a", 0, true), 0);
        table.remove("b", 10);
        assertThat(serving()).isEmpty();
        assertThat(table.find("a")).isEmpty();
    }

    @Test
    void entriesThatExpiredDuringAnOutageAreKeptForTheReturnGracePeriod() {
        table.replaceAll(List.of(entry("a", 0, false), entry("b", 0, false)), 0);
        table.platformUnreachable(9_990);
        table.platformAnswered(10_000);
        table.remove("a", 10_010);
        table.remove("b", 10_010);
        assertThat(serving()).containsExactly("a", "b");

        table.put(entry("a", 0, false), 0);
        table.expire(12_000);
        assertThat(serving()).containsExactly("a");
    }

    // DRAIN: an entry removed in an outage was served for as long as the return went unnoticed.
    @Test
    void theReturnGracePeriodBeginsWhenThePlatformWasLastKnownToBeUnavailable() {
        table.replaceAll(List.of(entry("a", 0, false)), 0);
        table.platformUnreachable(1_000);
        table.platformUnreachable(5_000);
        table.platformAnswered(6_500);
        table.remove("a", 6_500);
        table.expire(6_999);
        assertThat(serving()).containsExactly("a");
        table.expire(7_000);
        assertThat(serving()).isEmpty();
    }

    // DRAIN: after any single failed request, a removed entry was served for the return grace.
    @Test
    void anOutageTooShortForAnEntryToExpireGivesNoReturnGracePeriod() {
        UpstreamTable registered = new UpstreamTable(2_000, 2_400);
        registered.replaceAll(List.of(entry("a", 0, false), entry("b", 0, false)), 0);
        registered.platformAnswered(10_000);
        registered.platformUnreachable(10_100);
        registered.platformAnswered(12_399);
        registered.remove("a", 12_399);
        assertThat(registered.serving("s")).hasSize(1);

        registered.platformUnreachable(12_400);
        registered.platformAnswered(14_798);
        registered.remove("b", 14_798);
        assertThat(registered.serving("s")).isEmpty();
    }

    @Test
    void anUpstreamThatWasLeavingBeforeAnOutageIsNotKept() {
        table.replaceAll(List.of(entry("a", 0, true)), 0);
        table.platformUnreachable(9_990);
        table.platformAnswered(10_000);
        table.remove("a", 10_010);
        assertThat(table.all()).isEmpty();
    }

    @Test
    void aRestartUnderTheSameIdResetsTheUpstream() {
        table.put(entry("a", 1, false), 0);
        table.find("a").get().markMisdirected();
        table.put(entry("a", 2, false), 0);
        assertThat(table.find("a").get().isMisdirected()).isFalse();
    }

    @Test
    void outliersAreEjectedUpToHalfOfTheService() {
        table.replaceAll(List.of(entry("a", 0, false), entry("b", 0, false)), 0);
        List<Upstream> peers = table.serving("s");
        for (int i = 0; i < 5; i++) {
            OutlierDetector.recordFailure(peers.get(0), peers, true, 100);
            OutlierDetector.recordFailure(peers.get(1), peers, true, 100);
        }
        assertThat(peers.stream().filter(u -> u.isEjected(100)).count()).isEqualTo(1);
        assertThat(peers.stream().filter(u -> u.isEjected(3_000)).count()).isEqualTo(0);
    }

    @Test
    void aServiceIsLimitedOnlyIfAllItsUpstreamsAre() {
        assertThat(table.serviceLimit("s", 0).isPresent()).isFalse();
        table.put(new UpstreamEntry("a", "s", "10.0.0.1:80", "d", 1, 0, false), 0);
        table.put(new UpstreamEntry("b", "s", "10.0.0.2:80", "d", 1, 0, false), 0);
        announce("a", Announcement.good(AnnouncedLimit.of(2)));
        assertThat(table.serviceLimit("s", 0).isPresent()).isFalse();
        announce("b", Announcement.good(AnnouncedLimit.of(0.5)));
        assertThat(table.serviceLimit("s", 0).getAsDouble()).isEqualTo(2.5);
    }

    @Test
    void aLimitIsKeptAfterItsEntryIsRemoved() {
        table.put(new UpstreamEntry("a", "s", "10.0.0.1:80", "d", 1, 0, false), 0);
        announce("a", Announcement.good(AnnouncedLimit.of(2)));
        table.remove("a", 100);
        table.put(new UpstreamEntry("a", "s", "10.0.0.1:80", "d", 1, 0, false), 0);
        assertThat(table.announcements().perSecond("a").getAsDouble()).isEqualTo(2);
    }

    // A later entry that is not marked as leaving must not undo the announcement.
    @Test
    void anAnnouncedLeaveOverridesThePublishedEntry() {
        table.replaceAll(List.of(entry("a", 7, false), entry("b", 0, false)), 0);
        table.announcements().announced(entry("a", 7, false), LEAVING, 0, 0);
        assertThat(serving()).containsExactly("b");
        table.put(entry("a", 7, false), 0);
        table.remove("a", 10);
        table.put(entry("a", 7, false), 0);
        assertThat(serving()).containsExactly("b");
        assertThat(table.find("a")).isEmpty();
    }

    @Test
    void aRestartedUpstreamInheritsNoAnnouncements() {
        table.replaceAll(List.of(entry("a", 7, false)), 0);
        table.announcements().announced(entry("a", 7, false), LEAVING, 0, 0);
        table.put(entry("a", 8, false), 0);
        assertThat(serving()).containsExactly("a");
        table.announcements().announced(entry("a", 7, false), LEAVING, 0, 0);
        assertThat(serving()).containsExactly("a");
    }

    @Test
    void pausedUpstreamsAreExcludedFromTheServiceLimit() {
        table.replaceAll(List.of(entry("a", 0, false), entry("b", 0, false)), 0);
        announce("a", Announcement.good(AnnouncedLimit.of(2)));
        announce("b", Announcement.good(AnnouncedLimit.of(3)));
        announce(
                "b",
                new Announcement(
                        Announcement.Origin.NEVER_RAN,
                        AnnouncedLimit.NONE,
                        false,
                        OptionalLong.of(500)));
        assertThat(table.serviceLimit("s", 499).getAsDouble()).isEqualTo(2);
        assertThat(table.serviceLimit("s", 500).getAsDouble()).isEqualTo(5);
    }

    // Statements of removed upstreams must not accumulate.
    @Test
    void statementsOfRemovedUpstreamsExpire() {
        table.put(entry("a", 0, false), 0);
        announce("a", Announcement.good(AnnouncedLimit.of(2)));
        table.remove("a", 100);
        table.expire(590_000);
        assertThat(table.announcements().limited()).isEqualTo(1);
        table.expire(700_000);
        assertThat(table.announcements().limited()).isEqualTo(0);
    }

    @Test
    void aLifeThatWasLeavingOrGoneStaysClosedAfterAReturnFromACopyAndANewLifeIsOpen() {
        table.replaceAll(List.of(entry("a", 1, false), entry("b", 1, false)), 0);
        table.put(entry("a", 1, true), 0);
        table.remove("b", 10);
        table.platformReturned(1_000);
        table.replaceAll(List.of(entry("a", 1, false), entry("b", 1, false)), 1_010);
        table.put(entry("a", 1, false), 0);
        assertThat(serving()).isEmpty();
        table.put(entry("a", 2, false), 0);
        assertThat(serving()).containsExactly("a");
    }

    @Test
    void aSecondReturnFromACopyRestartsTheReturnGracePeriod() {
        table.replaceAll(List.of(entry("a", 1, false)), 0);
        table.platformReturned(1_000);
        table.replaceAll(List.of(), 1_010);
        table.platformReturned(2_500);
        table.replaceAll(List.of(), 2_510);
        table.expire(4_400);
        assertThat(serving()).containsExactly("a");
        table.expire(4_500);
        assertThat(serving()).isEmpty();
    }

    @Test
    void anEntryThatReappearsInTheSameEpochIsOpen() {
        table.replaceAll(List.of(entry("a", 1, false)), 0);
        table.remove("a", 10);
        table.put(entry("a", 1, false), 0);
        table.platformReturned(1_000);
        table.replaceAll(List.of(entry("a", 1, false)), 1_010);
        assertThat(serving()).containsExactly("a");
    }

    private static UpstreamEntry entryIn(String domain, String id) {
        return new UpstreamEntry(id, "s", "10.0.0.1:80", domain, 1, 0, false);
    }

    // Nothing new may reach an upstream of the domain, whichever question leads there.
    @Test
    void anUpstreamInAnEvacuatedDomainGetsNothingNewUntilTheDomainReturns() {
        table.replaceAll(List.of(entryIn("d", "a"), entryIn("e", "b")), 0);
        int[] changes = new int[1];
        table.onChange(() -> changes[0]++);
        table.evacuate("d");
        table.put(entryIn("d", "c"), 0);
        assertThat(serving()).containsExactly("b");
        assertThat(table.find("a")).isEmpty();
        assertThat(table.known("a")).isPresent();
        assertThat(table.takesNew(entryIn("d", "a"), 0)).isFalse();
        assertThat(table.takesNew(entryIn("e", "b"), 0)).isTrue();
        assertThat(table.evacuatedDomains()).isEqualTo(1);

        table.domainReturned("d", 0);
        assertThat(serving()).containsExactly("a", "b", "c");
        assertThat(table.takesNew(entryIn("d", "a"), 0)).isTrue();
        assertThat(table.evacuatedDomains()).isEqualTo(0);
        assertThat(changes[0]).isEqualTo(3);
    }

    @Test
    void aCompleteListReplacesTheSetOfEvacuatedDomains() {
        table.replaceAll(List.of(entryIn("d", "a"), entryIn("e", "b")), Set.of("d", "f"), 0);
        assertThat(serving()).containsExactly("b");
        table.replaceAll(List.of(entryIn("d", "a"), entryIn("e", "b")), Set.of("e"), 10);
        assertThat(serving()).containsExactly("a");
        assertThat(table.evacuatedDomains()).isEqualTo(1);
    }

    // The copy may lack the key, which the operator writes again within the return grace.
    @Test
    void aDomainThatACopyLacksStaysEvacuatedForTheReturnGrace() {
        table.replaceAll(List.of(entryIn("d", "a"), entryIn("e", "b")), Set.of("d", "e"), 0);
        table.platformReturned(1_000);
        table.replaceAll(List.of(entryIn("d", "a"), entryIn("e", "b")), Set.of(), 1_100);
        table.expire(2_000);
        table.platformReturned(2_000);
        table.replaceAll(List.of(entryIn("d", "a"), entryIn("e", "b")), Set.of(), 2_100);
        table.expire(3_999);
        assertThat(serving()).isEmpty();
        table.evacuate("e");
        table.expire(4_000);
        assertThat(serving()).containsExactly("a");
        table.expire(9_000);
        assertThat(serving()).containsExactly("a");
    }

    @Test
    void theReturnGraceOfAnEvacuationDoesNotEndWhileThePlatformIsUnreachable() {
        table.replaceAll(List.of(entryIn("d", "a")), Set.of("d"), 0);
        table.platformReturned(1_000);
        table.replaceAll(List.of(entryIn("d", "a")), Set.of(), 1_100);
        table.platformUnreachable(1_500);
        table.expire(5_000);
        assertThat(serving()).isEmpty();
        table.platformAnswered(5_100);
        table.expire(5_200);
        assertThat(serving()).containsExactly("a");
    }

    // Guards against an evacuation that ends before its key can be written again after an outage.
    @Test
    void anOutageRestartsTheReturnGraceOfAnEvacuation() {
        table.replaceAll(List.of(entryIn("d", "a")), Set.of("d"), 0);
        table.platformReturned(1_000);
        table.replaceAll(List.of(entryIn("d", "a")), Set.of(), 1_100);
        table.platformUnreachable(1_500);
        table.platformUnreachable(5_000);
        table.platformAnswered(5_100);
        table.expire(6_999);
        assertThat(serving()).isEmpty();
        table.expire(7_000);
        assertThat(serving()).containsExactly("a");
    }

    // Guards against an outage too short for entries to expire, in which no key can be written.
    @Test
    void aShortOutageRestartsTheReturnGraceOfAnEvacuation() {
        UpstreamTable registered = new UpstreamTable(2_000, 2_400);
        registered.replaceAll(List.of(entryIn("d", "a")), Set.of("d"), 0);
        registered.platformAnswered(900);
        registered.platformReturned(1_000);
        registered.replaceAll(List.of(entryIn("d", "a")), Set.of(), 1_100);
        registered.platformUnreachable(2_900);
        registered.platformAnswered(3_000);
        registered.expire(4_899);
        assertThat(registered.serving("s")).isEmpty();
        registered.expire(4_900);
        assertThat(registered.serving("s")).hasSize(1);
    }

    // Guards against a first snapshot after an outage that ends the evacuation.
    @Test
    void anOutageBeforeTheSnapshotRestartsTheReturnGraceOfAnEvacuation() {
        table.replaceAll(List.of(entryIn("d", "a")), Set.of("d"), 0);
        table.platformReturned(1_000);
        table.platformUnreachable(1_100);
        table.platformUnreachable(5_000);
        table.platformAnswered(5_100);
        table.replaceAll(List.of(entryIn("d", "a")), Set.of(), 5_200);
        assertThat(serving()).isEmpty();
        table.expire(7_000);
        assertThat(serving()).containsExactly("a");
    }

    // Guards against an evacuation that ends although its key may be in the snapshot to come.
    @Test
    void anEvacuationDoesNotEndWhileASnapshotIsDue() {
        table.replaceAll(List.of(entryIn("d", "a")), Set.of("d"), 0);
        table.platformReturned(1_000);
        table.replaceAll(List.of(entryIn("d", "a")), Set.of(), 1_100);
        table.platformReturned(2_000);
        table.expire(4_500);
        assertThat(serving()).isEmpty();
        table.replaceAll(List.of(entryIn("d", "a")), Set.of(), 4_600);
        assertThat(serving()).containsExactly("a");
    }

    // The removal of the key is a statement of the operator, unlike its absence in a copy.
    @Test
    void aRemovedKeyEndsTheEvacuationAlsoRightAfterAReturnFromACopy() {
        table.replaceAll(List.of(entryIn("d", "a")), Set.of("d"), 0);
        table.platformReturned(1_000);
        table.replaceAll(List.of(entryIn("d", "a")), Set.of(), 1_100);
        table.domainReturned("d", 0);
        assertThat(serving()).containsExactly("a");
    }

    private static UpstreamEntry coldEntry(String id, long startedMillis, long remainingMillis) {
        return new UpstreamEntry(
                id, "s", "10.0.0.1:80", "d", 1, startedMillis, false, remainingMillis);
    }

    private void limitColdUpstreams(double perSecond) {
        table.setServices(
                name ->
                        Optional.of(
                                new ServiceEntry(
                                        name,
                                        0,
                                        Optional.empty(),
                                        Optional.empty(),
                                        3_000,
                                        perSecond)));
    }

    private long coldMillis(String id, long nowMillis) {
        return table.coldLimit(id, nowMillis).map(ColdLimit::remainingMillis).orElse(0L);
    }

    @Test
    void anUpstreamIsColdForTheTimeInItsNewestEntry() {
        limitColdUpstreams(8.8);
        table.put(coldEntry("a", 1, 2_000), 100);
        assertThat(coldMillis("a", 100)).isEqualTo(2_000);
        assertThat(table.perSecond("a", 2_099).getAsDouble()).isEqualTo(8.8);
        assertThat(table.perSecond("a", 2_100).isPresent()).isFalse();
        table.put(coldEntry("a", 1, 2_000), 1_300);
        assertThat(coldMillis("a", 1_300)).isEqualTo(2_000);
        table.put(coldEntry("a", 1, 0), 2_500);
        assertThat(coldMillis("a", 2_500)).isEqualTo(0);
        table.put(coldEntry("a", 1, 3_000), 9_000);
        assertThat(coldMillis("a", 9_000)).isEqualTo(3_000);
    }

    // Without a rate, existing deployments are served as before.
    @Test
    void aColdUpstreamWithoutARateOrWithoutAServiceHasNoLimit() {
        table.put(coldEntry("a", 1, 2_000), 0);
        assertThat(table.perSecond("a", 0).isPresent()).isFalse();
        limitColdUpstreams(0);
        assertThat(table.perSecond("a", 0).isPresent()).isFalse();
        assertThat(table.perSecond("unknown", 0).isPresent()).isFalse();
        limitColdUpstreams(8);
        assertThat(table.perSecond("a", 0).getAsDouble()).isEqualTo(8);
    }

    @Test
    void theLimitOfAColdUpstreamIsTheSmallerOneOfItsRateAndWhatItAnnounced() {
        limitColdUpstreams(8);
        table.put(coldEntry("a", 0, 2_000), 0);
        table.put(coldEntry("b", 0, 2_000), 0);
        table.put(coldEntry("c", 0, 0), 0);
        announce("a", Announcement.good(AnnouncedLimit.of(2)));
        announce("b", Announcement.good(AnnouncedLimit.of(20)));
        assertThat(table.perSecond("a", 0).getAsDouble()).isEqualTo(2);
        assertThat(table.perSecond("b", 0).getAsDouble()).isEqualTo(8);
        assertThat(table.perSecond("b", 2_000).getAsDouble()).isEqualTo(20);
        assertThat(table.serviceLimit("s", 0).isPresent()).isFalse();
        table.remove("c", 0);
        assertThat(table.serviceLimit("s", 0).getAsDouble()).isEqualTo(10);
        assertThat(table.serviceLimit("s", 2_000).getAsDouble()).isEqualTo(22);
    }

    // A restarted process is cold as its own entry says, whatever was known of the former one.
    @Test
    void aRestartUnderTheSameIdBeginsAColdTimeOfItsOwn() {
        limitColdUpstreams(8);
        table.put(coldEntry("a", 1, 0), 0);
        table.put(coldEntry("a", 2, 2_800), 1_000);
        assertThat(coldMillis("a", 1_000)).isEqualTo(2_800);
        table.replaceAll(List.of(coldEntry("a", 3, 0)), 1_100);
        assertThat(coldMillis("a", 1_100)).isEqualTo(0);
    }

    // The same statement does not count again, and one in a copy does not end the cold time.
    @Test
    void aSnapshotMayExtendAColdTimeButNeitherRenewsNorEndsIt() {
        limitColdUpstreams(8);
        table.replaceAll(List.of(coldEntry("a", 1, 2_000)), 0);
        table.replaceAll(List.of(coldEntry("a", 1, 2_000)), 1_500);
        assertThat(coldMillis("a", 1_500)).isEqualTo(500);
        table.replaceAll(List.of(coldEntry("a", 1, 0)), 1_600);
        assertThat(coldMillis("a", 1_600)).isEqualTo(400);
        table.replaceAll(List.of(coldEntry("a", 1, 900)), 1_700);
        assertThat(coldMillis("a", 1_700)).isEqualTo(900);
    }

    // The entries may say only later that the upstreams are cold.
    @Test
    void upstreamsOfAReturnedDomainCountAsColdForTheColdStartUnlessTheirEntriesSayLonger() {
        limitColdUpstreams(8);
        table.replaceAll(
                List.of(coldEntry("a", 1, 0), coldEntry("b", 1, 5_000), entryIn("e", "c")),
                Set.of("d"),
                0);
        table.domainReturned("d", 1_000);
        assertThat(coldMillis("a", 1_000)).isEqualTo(3_000);
        assertThat(coldMillis("b", 1_000)).isEqualTo(4_000);
        assertThat(coldMillis("c", 1_000)).isEqualTo(0);
        table.put(coldEntry("a", 1, 0), 1_500);
        table.put(coldEntry("b", 1, 0), 1_500);
        assertThat(coldMillis("a", 1_500)).isEqualTo(2_500);
        assertThat(coldMillis("b", 1_500)).isEqualTo(2_500);
        table.domainReturned("d", 2_000);
        assertThat(coldMillis("a", 2_000)).isEqualTo(2_000);
        table.put(coldEntry("a", 1, 2_900), 2_500);
        assertThat(coldMillis("a", 2_500)).isEqualTo(2_900);
    }

    @Test
    void aDomainThatReturnsAfterTheGraceOfACopyReturnsWithColdUpstreams() {
        limitColdUpstreams(8);
        table.replaceAll(List.of(coldEntry("a", 1, 0)), Set.of("d"), 0);
        table.platformReturned(1_000);
        table.replaceAll(List.of(coldEntry("a", 1, 0)), Set.of(), 1_100);
        table.expire(3_000);
        assertThat(coldMillis("a", 3_000)).isEqualTo(3_000);
    }

    @Test
    void coldUpstreamsAreCounted() {
        limitColdUpstreams(8);
        table.replaceAll(List.of(coldEntry("a", 1, 2_000), coldEntry("b", 1, 0)), 0);
        table.expire(0);
        assertThat(table.coldUpstreams()).isEqualTo(1);
        table.remove("a", 100);
        table.put(coldEntry("b", 1, 1_000), 100);
        table.expire(100);
        assertThat(table.coldUpstreams()).isEqualTo(1);
        table.expire(1_100);
        assertThat(table.coldUpstreams()).isEqualTo(0);
    }

    // A remaining time at the edge of the numbers must not overflow to a time in the past.
    @Test
    void aVeryLongColdTimeLasts() {
        limitColdUpstreams(8);
        table.put(coldEntry("a", 1, Long.MAX_VALUE), 1_000);
        assertThat(coldMillis("a", 1_000_000)).isGreaterThan(1_000_000L);
    }
}
