package org.bronzewheel.serving;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
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

/**
 * Runs the stages of one request: submits them, passes their results on and, after the loss of a
 * result, reruns them once.
 */
final class RequestStages {
    private static final long ENGINE_MILLIS = 160;

    private static final int MAX_ROUNDS = 2;

    private final ServingContext context;
    private final CallerRequest request;
    private final ServiceRoute route;
    private final int rank;
    private final long arrivedMillis;
    private final LongSupplier leastAnswerMillis;
    private final Consumer<Runnable> guard;
    private final Runnable onReady;
    private final Consumer<String> onFailure;
    private StageProgress progress;
    private String failureDomain = "";
    private long deadlineAtMillis;
    private int rounds;
    private boolean rerun;
    private boolean consumed;
    private boolean ended;

    /**
     * Creates the stages of a request.
     *
     * @param rank the rank of the request, 0 first
     * @param leastAnswerMillis the least time of the request's upstream to its answer
     * @param guard runs each step that a stage calls
     * @param onReady called when all results are available
     * @param onFailure called with the reason why there will be none
     */
    RequestStages(
            ServingContext context,
            CallerRequest request,
            ServiceRoute route,
            int rank,
            long arrivedMillis,
            long deadlineAtMillis,
            LongSupplier leastAnswerMillis,
            Consumer<Runnable> guard,
            Runnable onReady,
            Consumer<String> onFailure) {
        this.context = context;
        this.request = request;
        this.route = route;
        this.rank = rank;
        this.arrivedMillis = arrivedMillis;
        this.deadlineAtMillis = deadlineAtMillis;
        this.leastAnswerMillis = leastAnswerMillis;
        this.guard = guard;
        this.onReady = onReady;
        this.onFailure = onFailure;
        this.progress = new StageProgress(route, request.pieces());
    }

    /**
     * Starts the stages without inputs; large results are preferably placed in a failure domain.
     */
    void start(String preferredFailureDomain) {
        failureDomain = preferredFailureDomain;
        submitReady();
    }

    /** Reruns all stages, by a new deadline, after their results were consumed or lost. */
    void rerun(long newDeadlineAtMillis) {
        deadlineAtMillis = newDeadlineAtMillis;
        release();
        restart();
    }

    private void restart() {
        consumed = false;
        rerun = true;
        progress = new StageProgress(route, request.pieces());
        submitReady();
    }

    /** Cancels a rerun whose results are not needed, as the attempt that consumed them goes on. */
    void cancelRerun() {
        if (!progress.isComplete()) {
            cancelUnfinished();
        }
        release();
        progress = new StageProgress(route, request.pieces());
        consumed = true;
    }

    /** Reruns all stages because a result was lost; fails after {@link #MAX_ROUNDS} rounds. */
    void rerunAfterLoss() {
        rounds++;
        release();
        if (rounds >= MAX_ROUNDS) {
            onFailure.accept("a result of a stage is gone");
        } else {
            restart();
        }
    }

    /** Releases the results once the request's upstream has read them. */
    void inputsRead() {
        consumed = consumed || !progress.outputs().isEmpty();
        release();
    }

    /** Returns whether the results were read and released. */
    boolean areConsumed() {
        return consumed;
    }

    /** Returns whether all results are available. */
    boolean areComplete() {
        return progress.isComplete();
    }

    /** Cancels unfinished stages and releases all results. */
    void end() {
        if (!ended && !consumed && !progress.isComplete()) {
            reportUnmetDemand();
            cancelUnfinished();
        }
        ended = true;
        release();
    }

    private void cancelUnfinished() {
        route.stages().stream()
                .map(StageStep::service)
                .distinct()
                .forEach(service -> context.stages().cancel(service, request.id()));
    }

    /** Reports the demand of stages that were never started to their owners. */
    private void reportUnmetDemand() {
        if (!rerun) {
            progress.notStarted()
                    .forEach(
                            stage ->
                                    context.stages()
                                            .reportUnmetDemand(
                                                    route.stages().get(stage).service(),
                                                    rank,
                                                    progress.piecesOf(stage)));
        }
    }

    /** Returns the least time until all results are available, behind the queues of the stages. */
    long leastQueuedMillis() {
        return progress.remainingMillis(estimates()::leastQueuedMillis);
    }

    /** Returns the least time until all results are available if no stage has a queue. */
    long leastMillis() {
        return progress.remainingMillis(estimates()::leastMillis);
    }

    private StageEstimates estimates() {
        return new StageEstimates(context, route, progress, rank);
    }

    /** Returns the expected time from the end of a stage to the first part of the response. */
    private long millisAfterStage(int stage, StageEstimates estimates) {
        int unreadTokens = request.promptTokens() - prompt().sharedPrefixTokens();
        long stagesMillis = progress.millisAfter(stage, estimates::expectedMillis);
        return stagesMillis + ENGINE_MILLIS + EngineSelector.prefillMillis(unreadTokens);
    }

    /** Returns the prompt with the available inputs. */
    Prompt prompt() {
        return new Prompt(
                request.promptTokens(),
                request.promptParts(),
                progress.outputBytesByFailureDomain());
    }

    /**
     * Describes the expected wait of each service that is still needed, with the age of the
     * estimate.
     */
    String describeWaits() {
        StageEstimates estimates = estimates();
        return progress.pendingServices().stream()
                .map(
                        service -> {
                            StageWait wait = estimates.reported(service);
                            return "%s:%d/%d"
                                    .formatted(service, wait.totalMillis(), wait.ageMillis());
                        })
                .collect(Collectors.joining(",", "[", "]"));
    }

    List<String> handles() {
        return progress.outputs().stream().map(StageResult::handle).toList();
    }

    private void release() {
        context.stages().release(progress.removeResults());
    }

    private void submitReady() {
        progress.startReady().forEach(this::submit);
        if (progress.isComplete()) {
            onReady.run();
        }
    }

    private void submit(int stage) {
        StageStep step = route.stages().get(stage);
        StageEstimates estimates = estimates();
        StageJob job =
                new StageJob(
                        request.id(),
                        stage,
                        step.service(),
                        progress.piecesOf(stage),
                        step.after().isEmpty() ? request.pieceKey() : Optional.empty(),
                        progress.inputsOf(stage),
                        progress.exclusiveInputsOf(stage),
                        step.resultBytes(),
                        rank,
                        arrivedMillis + route.objectiveMillis(),
                        deadlineAtMillis,
                        millisAfterStage(stage, estimates),
                        leastAnswerMillis.getAsLong()
                                + progress.millisAfter(stage, estimates::leastMillis),
                        progress.inputFailureDomain(stage).orElse(failureDomain),
                        !rerun && progress.hasNoResults());
        context.observer()
                .decided(
                        request.id(),
                        Decision.STAGE,
                        "stage=" + stage + " pieces=" + job.pieces() + " round=" + rounds);
        context.stages().submit(job, new StageWaiter(stage, progress));
    }

    /** Waits for one stage of one round. */
    private final class StageWaiter implements StageListener {
        private final int stage;
        private final StageProgress round;
        private final long submittedMillis = context.loop().nowMillis();
        private final long toldMillis;

        StageWaiter(int stage, StageProgress round) {
            this.stage = stage;
            this.round = round;
            this.toldMillis =
                    estimates().reported(route.stages().get(stage).service()).totalMillis();
        }

        @Override
        public void onResults(List<StageResult> results) {
            guard.accept(() -> receiveResults(results));
        }

        private void receiveResults(List<StageResult> results) {
            if (ended || round != progress) {
                context.stages().release(results);
                return;
            }
            progress.complete(stage, results);
            context.stages().release(progress.removeConsumedResults());
            submitReady();
        }

        @Override
        public void onFailure(StageFailure failure) {
            guard.accept(() -> receiveFailure(failure));
        }

        private void receiveFailure(StageFailure failure) {
            if (ended || round != progress) {
                return;
            }
            context.observer()
                    .decided(
                            request.id(),
                            Decision.STAGE_FAILED,
                            "stage=%d failure=%s waitedMillis=%d toldMillis=%d"
                                    .formatted(
                                            stage,
                                            failure,
                                            context.loop().nowMillis() - submittedMillis,
                                            toldMillis));
            if (failure == StageFailure.INPUT_GONE) {
                rerunAfterLoss();
            } else {
                onFailure.accept("stage " + stage + " failed: " + failure);
            }
        }
    }
}
