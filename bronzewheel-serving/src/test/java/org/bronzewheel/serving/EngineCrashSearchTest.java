package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.bronzewheel.serving.EngineFleet.Caller;
import org.bronzewheel.serving.EngineFleet.Router;
import org.bronzewheel.transport.Channel;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Seeded traffic in which a part of some prompts crashes engines, in virtual time. */
class EngineCrashSearchTest {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int SEEDS = Integer.getInteger("soak.seeds", 5);

    /** The time after the fifth crash from which requests with the part are counted. */
    private static final long CONTACT_MILLIS = 3_000;

    private static final int MAX_LATE_ARRIVALS = 3;
    private static final long EVIDENCE_MILLIS = 12_000;
    private static final long HEADER_BYTES = 66;

    /** What the control budget of 22 KB/s leaves beside the heartbeats of a large fleet. */
    private static final long MAX_BYTES_PER_SECOND = 11_000;

    private static final long WARM_UP_MILLIS = 5_000;
    private static final long TRAFFIC_MILLIS = 25_000;
    private static final long REQUEST_INTERVAL_MILLIS = 80;

    /** What happens beside the crashes. */
    private enum Trouble {
        NONE,
        ENGINES_KILLED_TOGETHER,
        ENGINES_KILLED_IN_TURN,
        ROUTERS_RESTARTED,
        MESSAGES_LOST
    }

    private EngineFleet fleet;
    private final List<Caller> sound = new ArrayList<>();

    private String[] soundParts() {
        return new String[] {
            "class" + fleet.random.nextInt(2), "workspace" + fleet.random.nextInt(6)
        };
    }

    private void play(double deadlyShare, long durationMillis, Trouble trouble) {
        long endMillis = fleet.loop.nowMillis() + durationMillis;
        for (long step = 0; fleet.loop.nowMillis() < endMillis; step++) {
            String[] parts = soundParts();
            if (fleet.random.nextDouble() < deadlyShare) {
                fleet.request(fleet.anyRouter(), parts[0], EngineFleet.DEADLY, parts[1]);
            } else {
                sound.add(fleet.request(fleet.anyRouter(), parts));
            }
            if (step % 40 == 39) {
                cause(trouble, (int) (step / 40));
            }
            fleet.advance(REQUEST_INTERVAL_MILLIS);
        }
    }

    private void cause(Trouble trouble, int round) {
        List<String> ids = fleet.engines.keySet().stream().sorted().toList();
        switch (trouble) {
            case NONE -> {}
            case ENGINES_KILLED_TOGETHER -> ids.stream().limit(4).forEach(fleet::kill);
            case ENGINES_KILLED_IN_TURN -> ids.stream().limit(1).forEach(fleet::kill);
            case ROUTERS_RESTARTED -> fleet.restart(round % fleet.routers.size());
            case MESSAGES_LOST -> {
                fleet.routers.forEach(router -> fleet.peers.heal(router.vmId));
                fleet.peers.silence(fleet.routers.get(round % fleet.routers.size()).vmId);
            }
        }
    }

    /** Counts those of routers that have run for long enough to know their peers. */
    private long lateArrivals() {
        if (fleet.crashMillis.size() < 5) {
            return 0;
        }
        long fromMillis = fleet.crashMillis.get(4) + CONTACT_MILLIS;
        return fleet.deadlyArrivals.stream()
                .filter(arrival -> arrival.atMillis() > fromMillis)
                .filter(arrival -> arrival.routerAgeMillis() > CONTACT_MILLIS)
                .count();
    }

    @ParameterizedTest
    @CsvSource({"6,6,0.05", "6,6,0.2", "6,6,0.4", "9,13,0.05", "9,13,0.2", "9,13,0.4", "30,13,0.2"})
    void aPartThatCrashesEnginesSoonReachesNoMoreOfThem(
            int routers, int engines, double deadlyShare) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            fleet = new EngineFleet(routers, engines, seed);
            play(0, WARM_UP_MILLIS, Trouble.NONE);
            play(deadlyShare, TRAFFIC_MILLIS, Trouble.NONE);
            assertWithMessage("seed %s, crashes at %s", seed, fleet.crashMillis)
                    .that(lateArrivals())
                    .isAtMost(MAX_LATE_ARRIVALS);
        }
    }

    @ParameterizedTest
    @EnumSource(Trouble.class)
    void crashesAreStoppedAndSoundRequestsServedBesideOtherTroubles(Trouble trouble) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            fleet = new EngineFleet(6, 9, seed);
            play(0, WARM_UP_MILLIS, Trouble.NONE);
            play(0.2, TRAFFIC_MILLIS, trouble);
            assertWithMessage("seed %s, crashes at %s", seed, fleet.crashMillis)
                    .that(lateArrivals())
                    .isAtMost(MAX_LATE_ARRIVALS);
            sound.clear();
            play(0.2, 5_000, Trouble.NONE);
            long begun = sound.stream().filter(caller -> caller.began).count();
            assertWithMessage("seed %s", seed).that(begun).isAtLeast(sound.size() * 9L / 10);
        }
    }

    // A part that only shared engines with crashes must never be refused.
    @ParameterizedTest
    @EnumSource(Trouble.class)
    void soundPartsAreNeverQuarantined(Trouble trouble) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            fleet = new EngineFleet(6, 9, seed);
            for (int round = 0; round < 5; round++) {
                play(0, 4_000, trouble);
                for (Router router : fleet.routers) {
                    assertWithMessage("seed %s", seed)
                            .that(router.quarantine.quarantined(fleet.loop.nowMillis()))
                            .isEqualTo(0);
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 30})
    void aRestartedRouterLearnsTheQuarantineWithinTheContactTime(int routers) {
        fleet = new EngineFleet(routers, 9, 1);
        play(0, WARM_UP_MILLIS, Trouble.NONE);
        play(0.4, 10_000, Trouble.NONE);
        fleet.restart(2);
        fleet.advance(CONTACT_MILLIS);
        Caller caller = fleet.request(fleet.routers.get(2), "class0", EngineFleet.DEADLY);
        assertThat(caller.refusedStatus).isEqualTo(503);
    }

    @Test
    void evidenceReachesALargeFleetInTimeAndWithinTheControlBudget() {
        fleet = new EngineFleet(390, 60, 1);
        play(0, WARM_UP_MILLIS, Trouble.NONE);
        long bytesBefore = evidenceBytes();
        play(0.2, EVIDENCE_MILLIS, Trouble.NONE);
        assertThat(lateArrivals()).isAtMost(MAX_LATE_ARRIVALS);
        long bytes = evidenceBytes() - bytesBefore;
        long bytesPerSecond = bytes * 1_000 / EVIDENCE_MILLIS / fleet.routers.size();
        logger.atInfo().log("evidence of 390 routers: %d bytes/s a router", bytesPerSecond);
        assertThat(bytesPerSecond).isAtMost(MAX_BYTES_PER_SECOND);
    }

    private long evidenceBytes() {
        return fleet.peers.bytes(Channel.EVIDENCE)
                + HEADER_BYTES * fleet.peers.messages(Channel.EVIDENCE);
    }

    @Test
    void aRouterCutOffFromItsPeersStopsTheCrashesByItself() {
        fleet = new EngineFleet(6, 9, 1);
        play(0, WARM_UP_MILLIS, Trouble.NONE);
        fleet.peers.cut(Set.of("vm-5"));
        Router alone = fleet.routers.get(5);
        for (int i = 0; i < 40; i++) {
            fleet.request(alone, 0, "class0", EngineFleet.DEADLY);
            fleet.request(alone, 0, "class0");
            fleet.advance(400);
        }
        assertThat(fleet.crashMillis.size()).isAtMost(5);
    }

    @Tag("known-red")
    @Test
    void theEndOfAQuarantineLetsNoMoreThanThreeRequestsReachEngines() {
        fleet = new EngineFleet(30, 30, 1);
        play(0, WARM_UP_MILLIS, Trouble.NONE);
        play(0.2, 130_000, Trouble.NONE);
        for (int quarantine = 0; quarantine < 2; quarantine++) {
            fleet.advance(130_000);
            for (int i = 0; i < 300; i++) {
                fleet.request(fleet.anyRouter(), "class0", EngineFleet.DEADLY);
                fleet.advance(20);
            }
        }
        assertWithMessage("crashes at %s", fleet.crashMillis)
                .that(lateArrivals())
                .isAtMost(MAX_LATE_ARRIVALS);
    }
}
