package org.bronzewheel.measure;

import org.bronzewheel.cost.CostKind;
import org.bronzewheel.policy.StageRequest;
import org.bronzewheel.routing.OpenCall;

/** One attempt of one stage of a request. */
final class Attempt {
    final Running running;
    final StageRequest stage;
    final int stageIndex;
    final OpenCall call;
    final FakeWorker worker;
    Job job;
    boolean open = true;
    CostKind lostAs = CostKind.RETRY;

    Attempt(Running running, OpenCall call, FakeWorker worker) {
        this.running = running;
        this.stage = running.stage;
        this.stageIndex = running.stageIndex;
        this.call = call;
        this.worker = worker;
    }
}
