package org.bronzewheel.measure;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import org.bronzewheel.upstreams.ReportedLoad;

/**
 * A model engine in virtual time: reads one prompt at a time, keeps shared prefixes, runs a limited
 * number of requests and is slower now and then.
 */
final class PlacementEngine {
    private static final double TOKENS_PER_MILLI = 85;
    private static final double MILLIS_PER_MILLION_PAIRS = 0.275;
    private static final double PAIRS_PER_MILLION = 1e6;
    private static final double START_MILLIS = 8;
    private static final double START_MILLIS_PER_RUNNING = 0.5;
    private static final double MILLIS_PER_TOKEN = 12;
    private static final double MILLIS_PER_TOKEN_AND_RUNNING = 0.4;
    private static final int SLOTS = 24;
    private static final double CACHED_TOKENS = 150_000;
    private static final double NOISE_FACTOR = 2.5;
    private static final double NOISE_MILLIS = 600;

    /** Gives a share of 0.15 of the time with noise. */
    private static final double QUIET_MILLIS = 3_400;

    private final EventLoop loop;
    private final double speed;
    private final Queue<Job> queue = new ArrayDeque<>();
    private final Map<Integer, Double> cache = new LinkedHashMap<>(16, 0.75f, true);
    private double cachedTokens;
    private boolean noisy;
    private boolean reading;
    private int running;

    /**
     * A request.
     *
     * @param tokens the length of its prompt
     * @param prefix the id of its shared prefix
     * @param sharedTokens the length of the shared prefix
     * @param answerTokens the length of the answer
     * @param onFirstEvent called when the prompt has been read
     * @param onEnd called when the answer is complete
     */
    record Job(
            int tokens,
            int prefix,
            int sharedTokens,
            int answerTokens,
            Runnable onFirstEvent,
            Runnable onEnd) {}

    PlacementEngine(EventLoop loop, SplittableRandom random, double speed, boolean hasNoise) {
        this.loop = loop;
        this.speed = speed;
        if (hasNoise) {
            scheduleNoise(random);
        }
    }

    private void scheduleNoise(SplittableRandom random) {
        loop.afterMillis(
                -Math.log(1 - random.nextDouble()) * QUIET_MILLIS,
                () -> {
                    noisy = true;
                    loop.afterMillis(
                            NOISE_MILLIS,
                            () -> {
                                noisy = false;
                                scheduleNoise(random);
                            });
                });
    }

    private double slowness() {
        return noise() / speed;
    }

    private double noise() {
        return noisy ? NOISE_FACTOR : 1;
    }

    ReportedLoad load() {
        return new ReportedLoad(running, queue.size(), SLOTS, noise());
    }

    static int slots() {
        return SLOTS;
    }

    void send(Job job) {
        queue.add(job);
        readNext();
    }

    private void readNext() {
        if (reading || running >= SLOTS || queue.isEmpty()) {
            return;
        }
        Job job = queue.remove();
        reading = true;
        running++;
        double hit = Math.min(job.sharedTokens(), cache.getOrDefault(job.prefix(), 0.0));
        double pairs = ((double) job.tokens() * job.tokens() - hit * hit) / PAIRS_PER_MILLION;
        double millis =
                (job.tokens() - hit) / TOKENS_PER_MILLI
                        + MILLIS_PER_MILLION_PAIRS * pairs
                        + START_MILLIS
                        + START_MILLIS_PER_RUNNING * running;
        keep(job);
        loop.afterMillis(millis * slowness(), () -> read(job));
    }

    private void read(Job job) {
        reading = false;
        job.onFirstEvent().run();
        double millisPerToken = MILLIS_PER_TOKEN + MILLIS_PER_TOKEN_AND_RUNNING * running;
        loop.afterMillis(
                job.answerTokens() * millisPerToken * slowness(),
                () -> {
                    running--;
                    job.onEnd().run();
                    readNext();
                });
        readNext();
    }

    private void keep(Job job) {
        double before = cache.getOrDefault(job.prefix(), 0.0);
        double after = Math.max(before, job.sharedTokens());
        cache.put(job.prefix(), after);
        cachedTokens += after - before;
        Iterator<Double> oldest = cache.values().iterator();
        while (cachedTokens > CACHED_TOKENS && oldest.hasNext()) {
            cachedTokens -= oldest.next();
            oldest.remove();
        }
    }
}
