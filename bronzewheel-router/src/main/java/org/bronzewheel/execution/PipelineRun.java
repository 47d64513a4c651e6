package org.bronzewheel.execution;

import com.fasterxml.jackson.databind.JsonNode;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;

/** The stages of one request, run in order within one deadline. */
final class PipelineRun {
    private final ExecutionServices services;
    private final RunContext run;
    private final HeldRequest held;
    private final RunLedger ledger = new RunLedger();
    private final List<StageReport> reports = new ArrayList<>();

    PipelineRun(ExecutionServices services, RunContext run, HeldRequest held) {
        this.services = services;
        this.run = run;
        this.held = held;
    }

    RunLedger ledger() {
        return ledger;
    }

    /** Returns the whole answer, or an error; the ledger then tells what has run. */
    Single<PipelineAnswer> start() {
        long remainingMillis = Math.max(0, run.deadline().remainingMillis());
        return runFrom(0, run.request().input())
                .timeout(
                        remainingMillis,
                        TimeUnit.MILLISECONDS,
                        services.scheduler(),
                        Single.error(PipelineRun::deadlineExceeded));
    }

    private Single<PipelineAnswer> runFrom(int index, JsonNode input) {
        if (index == run.pipeline().stages().size()) {
            return Single.just(new PipelineAnswer(input, List.copyOf(reports)));
        }
        return Single.defer(() -> new StageRun(services, run, ledger, held, index, input).start())
                .flatMap(
                        result -> {
                            reports.add(result.report());
                            return runFrom(index + 1, result.output());
                        });
    }

    private static BronzewheelException deadlineExceeded() {
        return new BronzewheelException(
                ErrorCode.DEADLINE_EXCEEDED, "the deadline passed before the whole answer");
    }
}
