package org.bronzewheel.serving;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.serving.RequestObserver.Decision;
import org.bronzewheel.stages.StageFailure;
import org.bronzewheel.stages.StageJob;
import org.bronzewheel.stages.StageListener;
import org.bronzewheel.stages.StageResult;
import org.bronzewheel.stages.StageWait;
import org.bronzewheel.upstreams.EngineSelector;
import org.bronzewheel.upstreams.Prompt;

/** The stages of one request: submits them, hands their results on, and makes them anew once. */
final class RequestStages {
    private static final long ENGINE_MILLIS = 160;

    /** The time of a stage in which nothing waits. */
    private static final long LEAST_STAGE_MILLIS = 330;

    private static final int MOST_ROUNDS = 2;

    private final ServingContext parts;
    private final CallerRequest request;
    private final ServiceRoute route;
    private final long arrivedMillis;
    private final long deadlineAtMillis;
    private final Runnable onReady;
    private final Consumer<String> onFailure;
    private StageProgress progress;
    private String failureDomain = "";
    private int rounds;
    private boolean read;
    private boolean ended;

    /**
     * Creates the stages of a request.
     *
     * @param onReady told when all results are there
     * @param onFailure told why there will be none
     */
    RequestStages(
            ServingContext parts,
            CallerRequest request,
            ServiceRoute route,
            long arrivedMillis,
            long deadlineAtMillis,
            Runnable onReady,
            Consumer<String> onFailure) {
        this.parts = parts;
        this.request = request;
        this.route = route;
        this.arrivedMillis = arrivedMillis;
        this.deadlineAtMillis = deadlineAtMillis;
        this.onReady = onReady;
        this.onFailure = onFailure;
        this.progress = new StageProgress(route, request.pieces());
    }

    /** Begins with the stages that need no results; large ones are wanted in a failure domain. */
    void begin(String wantedFailureDomain) {
        failureDomain = wantedFailureDomain;
        submitReady();
    }

    /** Makes all results again, after the first ones were read by a run that failed. */
    void again() {
        read = false;
        progress = new StageProgress(route, request.pieces());
        submitReady();
    }

    /** Makes all results again, as one of them no longer exists. */
    void resultGone() {
        rounds++;
        release();
        if (rounds >= MOST_ROUNDS) {
            onFailure.accept("a result of a stage is gone");
        } else {
            again();
        }
    }

    /** Gives the results up, as the request's upstream has read them. */
    void inputsRead() {
        read = read || !progress.outputs().isEmpty();
        release();
    }

    /** Tells whether the results were read and given up. */
    boolean areRead() {
        return read;
    }

    /** Ends the work of the stages. */
    void end() {
        if (!ended && !read && !progress.isWhole()) {
            noteUnmet();
            route.stages().stream()
                    .map(StageStep::service)
                    .distinct()
                    .forEach(service -> parts.stages().cancel(service, request.id()));
        }
        ended = true;
        release();
    }

    /** Tells the owners of stages that were never begun what the caller asked for. */
    private void noteUnmet() {
        if (rounds == 0) {
            progress.notBegun()
                    .forEach(
                            stage ->
                                    parts.stages()
                                            .reportUnmetDemand(
                                                    route.stages().get(stage).service(),
                                                    route.priority(),
                                                    progress.piecesOf(stage)));
        }
    }

    /** Returns the expected time until all results are there, by the queues of the stages. */
    long expectedMillis() {
        return progress.remainingMillis(
                service -> expectedWait(service).waitMillis() + LEAST_STAGE_MILLIS);
    }

    private StageWait expectedWait(String service) {
        return parts.stages().expectedWait(service, route.priority());
    }

    /** Returns the expected time from the end of a stage to the first part of the answer. */
    private long laterMillis(int stage) {
        int unreadTokens = request.promptTokens() - prompt().sharedPrefixTokens();
        long stagesMillis =
                progress.millisAfter(stage, service -> expectedWait(service).totalMillis());
        return stagesMillis + ENGINE_MILLIS + EngineSelector.prefillMillis(unreadTokens);
    }

    /** Returns the prompt with the inputs that are there. */
    Prompt prompt() {
        return new Prompt(
                request.promptTokens(),
                request.promptParts(),
                progress.outputBytesByFailureDomain());
    }

    /** Returns the wait of each service whose results are needed, with its age. */
    String describeWaits() {
        return progress.openServices().stream()
                .map(
                        service -> {
                            StageWait wait = expectedWait(service);
                            return "%s:%d/%d"
                                    .formatted(service, wait.totalMillis(), wait.ageMillis());
                        })
                .collect(Collectors.joining(",", "[", "]"));
    }

    List<String> handles() {
        return progress.outputs().stream().map(StageResult::handle).toList();
    }

    private void release() {
        parts.stages().release(progress.takeResults());
    }

    private void submitReady() {
        progress.begin().forEach(this::submit);
        if (progress.isWhole()) {
            onReady.run();
        }
    }

    private void submit(int stage) {
        StageStep step = route.stages().get(stage);
        StageJob job =
                new StageJob(
                        request.id(),
                        stage,
                        step.service(),
                        progress.piecesOf(stage),
                        step.after().isEmpty() ? request.pieceKey() : Optional.empty(),
                        progress.inputsOf(stage),
                        step.resultBytes(),
                        route.priority(),
                        arrivedMillis + route.objectiveMillis(),
                        deadlineAtMillis,
                        laterMillis(stage),
                        ENGINE_MILLIS + progress.millisAfter(stage, any -> LEAST_STAGE_MILLIS),
                        progress.inputFailureDomain(stage).orElse(failureDomain),
                        rounds == 0 && progress.hasNoResults());
        parts.observer()
                .decided(
                        request.id(),
                        Decision.STAGE,
                        "stage=" + stage + " pieces=" + job.pieces() + " round=" + rounds);
        parts.stages().submit(job, new Wait(stage, progress));
    }

    /** The wait for one stage of one round. */
    private final class Wait implements StageListener {
        private final int stage;
        private final StageProgress round;
        private final long submittedMillis = parts.loop().nowMillis();
        private final long toldMillis;

        Wait(int stage, StageProgress round) {
            this.stage = stage;
            this.round = round;
            this.toldMillis = expectedWait(route.stages().get(stage).service()).totalMillis();
        }

        @Override
        public void onResults(List<StageResult> results) {
            if (ended || round != progress) {
                parts.stages().release(results);
                return;
            }
            progress.done(stage, results);
            parts.stages().release(progress.takeUsedResults());
            submitReady();
        }

        @Override
        public void onFailure(StageFailure failure) {
            if (ended || round != progress) {
                return;
            }
            parts.observer()
                    .decided(
                            request.id(),
                            Decision.STAGE_FAILED,
                            "stage=%d failure=%s waitedMillis=%d toldMillis=%d"
                                    .formatted(
                                            stage,
                                            failure,
                                            parts.loop().nowMillis() - submittedMillis,
                                            toldMillis));
            if (failure == StageFailure.INPUT_GONE) {
                resultGone();
            } else {
                onFailure.accept("stage " + stage + " failed: " + failure);
            }
        }
    }
}
