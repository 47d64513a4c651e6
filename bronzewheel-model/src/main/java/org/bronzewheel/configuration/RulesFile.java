package org.bronzewheel.configuration;

import java.util.List;
import org.bronzewheel.rules.Pipeline;
import org.bronzewheel.rules.RequestClass;
import org.bronzewheel.rules.Rules;
import org.bronzewheel.rules.Stage;

/** The form of the rules file. */
record RulesFile(
        Long retentionMillis,
        Integer maxBodyBytes,
        List<RequestClassForm> requestClasses,
        List<PipelineForm> pipelines)
        implements FileForm<Rules> {
    private static final long DEFAULT_RETENTION_MILLIS = 600_000;
    private static final int DEFAULT_BODY_BYTES = 1 << 20;
    private static final int DEFAULT_EXTRA_COST_PERCENT = 5;

    @Override
    public Rules toRecord() {
        return new Rules(
                Defaults.orElse(retentionMillis, DEFAULT_RETENTION_MILLIS),
                Defaults.orElse(maxBodyBytes, DEFAULT_BODY_BYTES),
                Defaults.records(requestClasses),
                Defaults.records(pipelines));
    }

    record RequestClassForm(
            String name,
            Integer priority,
            Long deadlineMillis,
            Integer floorPercent,
            Integer extraCostPercent)
            implements FileForm<RequestClass> {
        @Override
        public RequestClass toRecord() {
            return new RequestClass(
                    Defaults.orElse(name, ""),
                    Defaults.orElse(priority, 0),
                    Defaults.orElse(deadlineMillis, 0L),
                    Defaults.orElse(floorPercent, 0),
                    Defaults.orElse(extraCostPercent, DEFAULT_EXTRA_COST_PERCENT));
        }
    }

    record StageForm(
            String name,
            String pool,
            Boolean idempotent,
            String model,
            String path,
            Integer maxTokens)
            implements FileForm<Stage> {
        @Override
        public Stage toRecord() {
            return new Stage(
                    Defaults.orElse(name, ""),
                    Defaults.orElse(pool, ""),
                    Defaults.orElse(idempotent, true),
                    Defaults.orElse(model, ""),
                    Defaults.orElse(path, ""),
                    Defaults.orElse(maxTokens, 0));
        }
    }

    record PipelineForm(String name, List<StageForm> stages) implements FileForm<Pipeline> {
        @Override
        public Pipeline toRecord() {
            return new Pipeline(Defaults.orElse(name, ""), Defaults.records(stages));
        }
    }
}
