package org.bronzewheel.stages;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Overlapping planned stops, restarts and crashes of routers under a steady load of jobs. */
class SharedStagesSoakTest extends SharedStagesFixture {
    private static final int ROUTERS = 6;
    private static final long SOAK_MILLIS = 25_000;
    private static final long JOB_MILLIS = 120;
    private static final long CHANGE_MILLIS = 900;
    private static final long RESTART_MILLIS = 700;
    private static final long MIN_STOP_MILLIS = 600;
    private static final long CHECK_MILLIS = 50;

    private final List<Submitted> jobs = new ArrayList<>();
    private final List<Router> stopping = new ArrayList<>();
    private long incarnation = 1;
    private double repeatSlack;

    private record Submitted(Router router, String id, Outcome outcome) {}

    /** Returns the seeds to run; {@code -Dsoak.seeds=200} runs more of them. */
    static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("soak.seeds", 50));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void plannedStopsLoseNoJobAndNeedNoRetry(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        soak(random, 0, () -> stop(random));
        for (Submitted job : jobs) {
            assertWithMessage("job %s", job.id()).that(job.outcome().failure).isEmpty();
            assertWithMessage("job %s", job.id()).that(job.outcome().ends).isEqualTo(1);
        }
        assertNoOpenJobs();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void jobsOfLiveRoutersEndExactlyOnceWhenOthersCrash(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        soak(random, 1_000, () -> stopOrKill(random));
        for (Submitted job : jobs) {
            if (routers.contains(job.router())) {
                assertWithMessage("job %s", job.id()).that(job.outcome().ends).isEqualTo(1);
            }
        }
        assertNoOpenJobs();
    }

    private void stopOrKill(SplittableRandom random) {
        if (random.nextBoolean()) {
            stop(random);
        } else {
            kill(random);
        }
    }

    private void soak(SplittableRandom random, double repeatSlack, Runnable change) {
        routers(ROUTERS, repeatSlack);
        this.repeatSlack = repeatSlack;
        for (long millis = 0; millis < SOAK_MILLIS; millis += JOB_MILLIS) {
            loop.after(millis + random.nextInt((int) JOB_MILLIS), () -> submit(random));
        }
        for (long millis = 0; millis < SOAK_MILLIS; millis += CHANGE_MILLIS) {
            loop.after(millis + random.nextInt((int) CHANGE_MILLIS), change);
        }
        advance(SOAK_MILLIS + 12_000);
    }

    private void submit(SplittableRandom random) {
        Router router = any(random);
        String id = "job-" + jobs.size();
        Outcome outcome = router.submit(id, 1 + random.nextInt(POOL.batch()));
        jobs.add(new Submitted(router, id, outcome));
    }

    private Router any(SplittableRandom random) {
        return routers.get(random.nextInt(routers.size()));
    }

    /** Stops a router as planned: it announces that it leaves, finishes its jobs and restarts. */
    private void stop(SplittableRandom random) {
        Router router = any(random);
        if (stopping.size() >= ROUTERS / 2 || stopping.contains(router)) {
            return;
        }
        stopping.add(router);
        router.network.leave();
        loop.after(MIN_STOP_MILLIS, () -> endStop(router, false));
    }

    /** Ends a router once two checks in a row found it idle, as the graceful shutdown does. */
    private void endStop(Router router, boolean wasIdle) {
        boolean idle =
                router.stages.openJobs() == 0
                        && jobs.stream()
                                .allMatch(job -> job.router() != router || job.outcome().ends > 0);
        if (routers.contains(router) && !(idle && wasIdle)) {
            loop.after(CHECK_MILLIS, () -> endStop(router, idle));
        } else if (routers.contains(router)) {
            end(router);
        }
    }

    private void kill(SplittableRandom random) {
        Router router = any(random);
        if (routers.size() > ROUTERS / 2) {
            end(router);
        }
    }

    private void end(Router router) {
        stopping.remove(router);
        routers.remove(router);
        router.network.stop();
        peers.silence(router.vmId);
        loop.after(
                RESTART_MILLIS,
                () -> {
                    peers.heal(router.vmId);
                    routers.add(new Router(router.vmId, ++incarnation, repeatSlack));
                });
    }

    private void assertNoOpenJobs() {
        for (Router router : routers) {
            assertWithMessage("open jobs of %s", router.vmId)
                    .that(router.stages.openJobs())
                    .isEqualTo(0);
        }
    }
}
