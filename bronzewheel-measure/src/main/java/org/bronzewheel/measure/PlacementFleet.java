package org.bronzewheel.measure;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.peering.LoadReporter;
import org.bronzewheel.upstreams.AnnouncedLimit;
import org.bronzewheel.upstreams.Announcement;
import org.bronzewheel.upstreams.EngineSelector;
import org.bronzewheel.upstreams.OtherRoutersLoad;
import org.bronzewheel.upstreams.Prompt;
import org.bronzewheel.upstreams.PromptPart;
import org.bronzewheel.upstreams.Upstream;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.upstreams.UpstreamTable;

/**
 * Routers that place the requests of deployment B on model engines with the selector of the product
 * in virtual time, each with a view of its own. Each request goes to a random router.
 */
final class PlacementFleet {
    /** What the routers use besides their own calls. */
    enum Evidence {
        /** The times to the first event. */
        SPEED,
        /** The load that other routers report. */
        SHARED_LOAD,
        /** The load that engines report in their answers. */
        REPORTED_LOAD
    }

    /**
     * A class of requests.
     *
     * @param perSecond the requests per second at {@link #FULL_ENGINES} engines
     * @param meanTokens the mean length of a prompt
     * @param spread the standard deviation of the logarithm of the length
     * @param maxTokens the longest prompt
     * @param sharedPart the part of a prompt that the requests of a session share
     * @param sessions the sessions at {@link #SMALL_ENGINES} engines
     * @param stageMillis the median time of the stages before
     * @param objectiveMillis the objective for the first event
     */
    record RequestClass(
            double perSecond,
            int meanTokens,
            double spread,
            int maxTokens,
            double sharedPart,
            int sessions,
            double stageMillis,
            long objectiveMillis) {}

    /** The classes of deployment B; the first is the one of the burst. */
    static final List<RequestClass> CLASSES =
            List.of(
                    new RequestClass(47.2, 6_610, 0.9, 54_600, 0.5, 60, 420, 1_219),
                    new RequestClass(83.8, 628, 0.6, 4_000, 0.4, 100, 5, 1_908),
                    new RequestClass(91.3, 1_800, 0.6, 8_000, 0.4, 150, 300, 2_010));

    static final int FULL_ENGINES = 63;
    static final int SMALL_ENGINES = 13;
    static final long BURST_FROM_MILLIS = 60_000;
    static final long END_MILLIS = 90_000;
    private static final long WARM_UP_MILLIS = 20_000;
    private static final String SERVICE = "llm";
    private static final String DOMAIN = "a";
    private static final double MIN_SPEED = 0.55;
    private static final double MAX_SPEED = 1.2;
    private static final double STAGE_SPREAD = 0.29;
    private static final int MEAN_ANSWER_TOKENS = 150;
    private static final double ANSWER_SPREAD = 0.5;
    private static final double NETWORK_MILLIS = 2;
    private static final double BEAT_MILLIS = 350;
    private static final int FANOUT = 5;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final EventLoop loop = new EventLoop();
    private final SplittableRandom random;
    private final Set<Evidence> evidence;
    private final double scale;
    private final double burst;
    private final List<PlacementEngine> engines = new ArrayList<>();
    private final List<Router> routers = new ArrayList<>();
    private final Share[] calm = new Share[CLASSES.size()];
    private final Share[] inBurst = new Share[CLASSES.size()];
    private long reportBytes;

    /** The share of requests within their objective. */
    static final class Share {
        private int requests;
        private int onTime;

        double value() {
            return (double) onTime / Math.max(1, requests);
        }
    }

    PlacementFleet(
            int routerCount,
            int engineCount,
            boolean unequal,
            double burst,
            Set<Evidence> evidence,
            long seed) {
        this.random = new SplittableRandom(seed);
        this.evidence = evidence.isEmpty() ? Set.of() : EnumSet.copyOf(evidence);
        this.scale = (double) engineCount / FULL_ENGINES;
        this.burst = burst;
        List<UpstreamEntry> entries = new ArrayList<>();
        SplittableRandom engineRandom = random.split();
        for (int i = 0; i < engineCount; i++) {
            double speed = unequal ? engineRandom.nextDouble(MIN_SPEED, MAX_SPEED) : 1;
            engines.add(new PlacementEngine(loop, engineRandom.split(), speed, unequal));
            entries.add(
                    new UpstreamEntry(
                            "engine-" + i,
                            SERVICE,
                            "127.0.0.1:1",
                            DOMAIN,
                            PlacementEngine.slots(),
                            1,
                            false));
        }
        for (int i = 0; i < routerCount; i++) {
            routers.add(new Router(entries));
        }
        for (int i = 0; i < CLASSES.size(); i++) {
            calm[i] = new Share();
            inBurst[i] = new Share();
            arrive(i, random.split());
        }
    }

    /** Runs the calm time and the burst. */
    void run() {
        loop.runUntil(TimeUnit.MILLISECONDS.toNanos(END_MILLIS));
    }

    /** Returns the share of a class within its objective before the burst. */
    double calmShare(int requestClass) {
        return calm[requestClass].value();
    }

    /** Returns the share of a class within its objective in the burst. */
    double burstShare(int requestClass) {
        return inBurst[requestClass].value();
    }

    /** Returns the bytes of load reports that a router sends per second. */
    double reportBytesPerSecond() {
        return reportBytes * MILLIS_PER_SECOND / END_MILLIS / routers.size();
    }

    private long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(loop.nowNanos());
    }

    private boolean isBurst(long atMillis) {
        return atMillis >= BURST_FROM_MILLIS;
    }

    private void arrive(int index, SplittableRandom arrivals) {
        RequestClass requestClass = CLASSES.get(index);
        double factor = index == 0 && isBurst(nowMillis()) ? burst : 1;
        double perMilli = requestClass.perSecond() * scale * factor / MILLIS_PER_SECOND;
        loop.afterMillis(
                -Math.log(1 - arrivals.nextDouble()) / perMilli,
                () -> {
                    request(index, arrivals);
                    arrive(index, arrivals);
                });
    }

    private void request(int index, SplittableRandom arrivals) {
        RequestClass requestClass = CLASSES.get(index);
        double spread = requestClass.spread();
        double length =
                requestClass.meanTokens()
                        * Math.exp(spread * arrivals.nextGaussian() - spread * spread / 2);
        int tokens = (int) Math.max(1, Math.min(requestClass.maxTokens(), length));
        double popularity = arrivals.nextDouble();
        double sessions = requestClass.sessions() * scale * FULL_ENGINES / SMALL_ENGINES;
        // The most popular sessions have most of the requests.
        int session = (int) (sessions * popularity * popularity);
        int answer =
                (int) (MEAN_ANSWER_TOKENS * Math.exp(ANSWER_SPREAD * arrivals.nextGaussian())) + 1;
        double stages =
                requestClass.stageMillis() * Math.exp(STAGE_SPREAD * arrivals.nextGaussian());
        Router router = routers.get(arrivals.nextInt(routers.size()));
        Request request =
                new Request(
                        index,
                        index * 100_000 + session,
                        tokens,
                        (int) (requestClass.sharedPart() * tokens),
                        answer,
                        nowMillis());
        loop.afterMillis(stages, () -> router.send(request));
    }

    private record Request(
            int index, int prefix, int tokens, int shared, int answer, long arrivedMillis) {}

    private void record(Request request) {
        if (request.arrivedMillis() < WARM_UP_MILLIS) {
            return;
        }
        Share share = (isBurst(request.arrivedMillis()) ? inBurst : calm)[request.index()];
        long elapsedMillis = nowMillis() - request.arrivedMillis();
        share.requests++;
        share.onTime += elapsedMillis <= CLASSES.get(request.index()).objectiveMillis() ? 1 : 0;
    }

    private static Announcement answer(PlacementEngine engine) {
        return new Announcement(
                Announcement.Origin.GOOD,
                AnnouncedLimit.NONE,
                false,
                OptionalLong.empty(),
                Optional.of(engine.load()));
    }

    private final class Router {
        private final UpstreamTable table = new UpstreamTable(0);
        private final OtherRoutersLoad others = new OtherRoutersLoad();
        private final EngineSelector selector = new EngineSelector(others);
        private final LoadReporter loads =
                new LoadReporter(table::all, now -> routers.size() - 1, others);
        private final SplittableRandom own = random.split();

        Router(List<UpstreamEntry> entries) {
            table.replaceAll(entries, 0);
            if (evidence.contains(Evidence.SHARED_LOAD)) {
                loop.afterMillis(own.nextDouble(BEAT_MILLIS), this::beat);
            }
        }

        private void beat() {
            var report = loads.own().orElseThrow();
            List<Router> targets = new ArrayList<>(routers);
            targets.remove(this);
            for (int i = 0; i < FANOUT && !targets.isEmpty(); i++) {
                Router target = targets.remove(own.nextInt(targets.size()));
                reportBytes += loads.reportBytes();
                loop.afterMillis(NETWORK_MILLIS, () -> target.loads.received(report, nowMillis()));
            }
            loop.afterMillis(BEAT_MILLIS, this::beat);
        }

        void send(Request request) {
            Prompt prompt =
                    new Prompt(
                            request.tokens(),
                            List.of(
                                    new PromptPart("p" + request.prefix(), request.shared()),
                                    new PromptPart("own", request.tokens() - request.shared())),
                            Map.of());
            List<Upstream> candidates = table.serving(SERVICE);
            long sentMillis = nowMillis();
            Upstream upstream =
                    selector.select(candidates, Set.of(), prompt, DOMAIN, sentMillis).orElseThrow();
            long work =
                    (long) upstream.pendingPromptTokens()
                            + selector.unreadTokens(candidates, prompt, upstream, sentMillis);
            PlacementEngine engine = engines.get(candidates.indexOf(upstream));
            upstream.callStarted(request.tokens());
            PlacementEngine.Job job =
                    new PlacementEngine.Job(
                            request.tokens(),
                            request.prefix(),
                            request.shared(),
                            request.answer(),
                            () -> {
                                upstream.promptTokensRead(request.tokens());
                                if (evidence.contains(Evidence.SPEED)) {
                                    selector.recordFirstEvent(
                                            upstream,
                                            work,
                                            (double) (nowMillis() - sentMillis),
                                            nowMillis());
                                }
                                if (evidence.contains(Evidence.REPORTED_LOAD)) {
                                    table.announcements()
                                            .announced(
                                                    upstream.entry(),
                                                    answer(engine),
                                                    sentMillis,
                                                    nowMillis());
                                }
                                PlacementFleet.this.record(request);
                            },
                            () -> upstream.callEnded(0));
            loop.afterMillis(NETWORK_MILLIS, () -> engine.send(job));
        }
    }
}
