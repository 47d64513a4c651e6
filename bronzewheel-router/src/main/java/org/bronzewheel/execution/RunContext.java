package org.bronzewheel.execution;

import io.opentelemetry.context.Context;
import java.util.List;
import java.util.Optional;
import org.bronzewheel.claim.ClaimRequest;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.rules.Pipeline;
import org.bronzewheel.rules.RequestClass;
import org.bronzewheel.rules.Stage;

/**
 * What stays the same while a request runs, its configuration included.
 *
 * @param id the request
 * @param request what the caller asked for
 * @param configuration the configuration in force at its arrival
 * @param pipeline the pipeline
 * @param requestClass the request class
 * @param deadline when the whole answer is due
 * @param claim the claim of its key, empty where it has none
 * @param trace the context of its span
 */
record RunContext(
        RequestId id,
        PipelineRequest request,
        Configuration configuration,
        Pipeline pipeline,
        RequestClass requestClass,
        Deadline deadline,
        Optional<ClaimRequest> claim,
        Context trace) {
    Stage stage(int index) {
        return pipeline.stages().get(index);
    }

    List<Stage> stagesFrom(int index) {
        return pipeline.stages().subList(index, pipeline.stages().size());
    }

    /** Returns the pool of a stage; validation has made sure that it exists. */
    Pool pool(int index) {
        return configuration.inventory().pool(stage(index).pool()).orElseThrow();
    }

    /** Returns the key under which an upstream that checks keys runs a stage, empty for none. */
    String upstreamKey(int index) {
        if (!request.keyed() || !pool(index).checksKeys()) {
            return "";
        }
        return Digests.sha256(
                request.workspace() + "\n" + request.idempotencyKey() + "\n" + stage(index).name());
    }
}
