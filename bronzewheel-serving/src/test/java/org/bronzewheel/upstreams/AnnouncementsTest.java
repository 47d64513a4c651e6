package org.bronzewheel.upstreams;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class AnnouncementsTest {
    private static final UpstreamEntry UPSTREAM =
            new UpstreamEntry("u", "s", "10.0.0.1:80", "d", 1, 7, false);

    private final Announcements announcements = new Announcements();

    private void answered(AnnouncedLimit limit, long sentMillis, long nowMillis) {
        answered(Announcement.good(limit), sentMillis, nowMillis);
    }

    private void answered(Announcement announcement, long sentMillis, long nowMillis) {
        announcements.announced(UPSTREAM, announcement, sentMillis, nowMillis);
    }

    private void learned(double perSecond, long heardMillis) {
        LimitStatement limit = new LimitStatement(OptionalDouble.of(perSecond), heardMillis);
        announcements.mergePeerStatement(
                new PeerStatement("u", 7, Optional.of(limit), OptionalLong.empty()), heardMillis);
    }

    private static Announcement announcement(
            Announcement.Origin origin, boolean leaving, OptionalLong pauseMillis) {
        return new Announcement(origin, AnnouncedLimit.NONE, leaving, pauseMillis);
    }

    private void pause(long pauseMillis, long nowMillis) {
        answered(
                announcement(Announcement.Origin.NEVER_RAN, false, OptionalLong.of(pauseMillis)),
                nowMillis,
                nowMillis);
    }

    private OptionalDouble known() {
        return announcements.perSecond("u");
    }

    @Test
    void aLimitAppliesUntilALaterAnswerOmitsIt() {
        answered(AnnouncedLimit.of(2), 0, 100);
        assertThat(known()).isEqualTo(OptionalDouble.of(2));
        answered(AnnouncedLimit.NONE, 100, 200);
        assertThat(known()).isEqualTo(OptionalDouble.empty());
        assertThat(announcements.limited()).isEqualTo(0);
    }

    @Test
    void anAnswerToARequestSentBeforeTheLimitNeitherRemovesNorRaisesIt() {
        answered(AnnouncedLimit.of(2), 0, 100);
        answered(AnnouncedLimit.NONE, 99, 200);
        answered(AnnouncedLimit.of(5), 99, 200);
        assertThat(known()).isEqualTo(OptionalDouble.of(2));
        answered(AnnouncedLimit.of(1), 99, 200);
        assertThat(known()).isEqualTo(OptionalDouble.of(1));
    }

    @Test
    void anUnreadableLimitChangesNothing() {
        answered(AnnouncedLimit.of(2), 0, 100);
        answered(AnnouncedLimit.UNREADABLE, 150, 200);
        assertThat(known()).isEqualTo(OptionalDouble.of(2));
    }

    // It may be a late copy of an answer from before the limit or the pause.
    @Test
    void anUnidentifiedAnswerLowersALimitButNeitherRaisesItNorEndsAPause() {
        answered(AnnouncedLimit.of(2), 0, 100);
        pause(3_000, 100);
        unidentified(AnnouncedLimit.of(5));
        unidentified(AnnouncedLimit.NONE);
        assertThat(known()).isEqualTo(OptionalDouble.of(2));
        assertThat(announcements.takesNew(UPSTREAM, 300)).isFalse();
        unidentified(AnnouncedLimit.of(1));
        assertThat(known()).isEqualTo(OptionalDouble.of(1));
    }

    private void unidentified(AnnouncedLimit limit) {
        answered(
                new Announcement(
                        Announcement.Origin.UNIDENTIFIED, limit, false, OptionalLong.empty()),
                200,
                300);
    }

    @Test
    void aPeersLimitAppliesOnlyIfItIsNewer() {
        learned(3, 50);
        assertThat(known()).isEqualTo(OptionalDouble.of(3));
        answered(AnnouncedLimit.NONE, 60, 100);
        learned(3, 90);
        assertThat(known()).isEqualTo(OptionalDouble.empty());
        learned(3, 101);
        assertThat(known()).isEqualTo(OptionalDouble.of(3));
    }

    @ParameterizedTest
    @EnumSource(Announcement.Origin.class)
    void onlyAGoodAnswerRemovesALimit(Announcement.Origin origin) {
        answered(AnnouncedLimit.of(2), 0, 100);
        answered(announcement(origin, false, OptionalLong.empty()), 200, 300);
        assertThat(known().isPresent()).isEqualTo(origin != Announcement.Origin.GOOD);
    }

    @ParameterizedTest
    @EnumSource(Announcement.Origin.class)
    void failuresAndRejectionsOfTheUpstreamAlsoSetALimit(Announcement.Origin origin) {
        answered(
                new Announcement(origin, AnnouncedLimit.of(2), false, OptionalLong.empty()),
                0,
                100);
        boolean ofTheUpstream =
                origin != Announcement.Origin.MISDIRECTED && origin != Announcement.Origin.OTHER;
        assertThat(known().isPresent()).isEqualTo(ofTheUpstream);
    }

    @ParameterizedTest
    @EnumSource(Announcement.Origin.class)
    void anyAnswerOfTheUpstreamItselfCanAnnounceThatItIsLeaving(Announcement.Origin origin) {
        answered(announcement(origin, true, OptionalLong.empty()), 0, 100);
        assertThat(announcements.isLeaving("u"))
                .isEqualTo(origin != Announcement.Origin.MISDIRECTED);
        assertThat(announcements.takesNew(UPSTREAM, 100))
                .isEqualTo(origin == Announcement.Origin.MISDIRECTED);
    }

    @Test
    void theLatestEndOfOverlappingPausesApplies() {
        pause(3_000, 100);
        pause(500, 200);
        assertThat(announcements.takesNew(UPSTREAM, 3_099)).isFalse();
        assertThat(announcements.takesNew(UPSTREAM, 3_100)).isTrue();
    }

    @Test
    void aGoodAnswerEndsAPauseOnlyIfItsRequestWasSentDuringThePause() {
        pause(3_000, 100);
        answered(AnnouncedLimit.NONE, 100, 200);
        assertThat(announcements.takesNew(UPSTREAM, 300)).isFalse();
        answered(AnnouncedLimit.NONE, 101, 300);
        assertThat(announcements.takesNew(UPSTREAM, 300)).isTrue();
    }

    // A single wrong value must not take an upstream out of service for a year.
    @Test
    void aPauseOfAYearBlocksForAMinuteAndThenAllowsOneRequestAMinute() {
        pause(365L * 86_400_000, 0);
        assertThat(announcements.takesNew(UPSTREAM, 59_999)).isFalse();
        assertThat(announcements.takesNew(UPSTREAM, 60_000)).isTrue();
        announcements.stateOf(UPSTREAM).requestSent(60_000);
        assertThat(announcements.takesNew(UPSTREAM, 119_999)).isFalse();
        assertThat(announcements.takesNew(UPSTREAM, 120_000)).isTrue();
    }

    @Test
    void aLeavingHintOfAPeerIsClearedByAGoodAnswer() {
        announcements.mergePeerStatement(
                new PeerStatement("u", 7, Optional.empty(), OptionalLong.of(100)), 150);
        assertThat(announcements.isLeaving("u")).isFalse();
        assertThat(announcements.stateOf(UPSTREAM).isHintedToLeave(150)).isTrue();
        answered(AnnouncedLimit.NONE, 200, 250);
        assertThat(announcements.stateOf(UPSTREAM).isHintedToLeave(250)).isFalse();
        announcements.mergePeerStatement(
                new PeerStatement("u", 7, Optional.empty(), OptionalLong.of(100)), 300);
        assertThat(announcements.stateOf(UPSTREAM).isHintedToLeave(300)).isFalse();
    }

    @Test
    void statementsAboutAnotherLifetimeAreIgnored() {
        announcements.stateOf(UPSTREAM);
        announcements.mergePeerStatement(
                new PeerStatement("u", 6, Optional.empty(), OptionalLong.of(100)), 150);
        assertThat(announcements.stateOf(UPSTREAM).isHintedToLeave(150)).isFalse();
    }

    @Test
    void statementsAreSharedForALimitedTime() {
        answered(announcement(Announcement.Origin.GOOD, true, OptionalLong.empty()), 0, 100);
        pause(500, 4_000);
        assertThat(announcements.recent(5_100)).hasSize(1);
        assertThat(announcements.recent(5_101)).isEmpty();
        answered(AnnouncedLimit.of(2), 5_200, 5_200);
        assertThat(announcements.recent(15_200)).hasSize(1);
        assertThat(announcements.recent(15_201)).isEmpty();
    }
}
