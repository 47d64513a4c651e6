package org.bronzewheel.configuration;

import java.util.Optional;
import org.bronzewheel.inventory.Inventory;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.rules.Pipeline;
import org.bronzewheel.rules.RequestClass;
import org.bronzewheel.rules.Rules;
import org.bronzewheel.rules.Stage;

/** A validator of the rules as a whole, against the inventory of the same document. */
final class RulesValidator {
    private static final long MIN_RETENTION_MILLIS = 1_000;

    /** What voters remember; a longer retention would admit keys that they have forgotten. */
    private static final long MAX_RETENTION_MILLIS = 600_000;

    private static final int MAX_BODY_BYTES = 64 << 20;
    private static final int MAX_PRIORITY = 15;
    private static final int MAX_TOKENS = 1_000_000;
    private static final int HUNDRED_PERCENT = 100;

    private final Rules rules;
    private final Inventory inventory;

    RulesValidator(Rules rules, Inventory inventory) {
        this.rules = rules;
        this.inventory = inventory;
    }

    void validate(Report report) {
        Checks checks = new Checks(report);
        checks.range(
                "/retentionMillis",
                rules.retentionMillis(),
                MIN_RETENTION_MILLIS,
                MAX_RETENTION_MILLIS);
        checks.range("/maxBodyBytes", rules.maxBodyBytes(), 1, MAX_BODY_BYTES);
        validateRequestClasses(checks);
        validatePipelines(checks);
    }

    private void validateRequestClasses(Checks checks) {
        checks.require(
                !rules.requestClasses().isEmpty(), "/requestClasses", "at least one request class");
        Checks.Unique names = checks.unique("request class name");
        int floors = 0;
        for (int i = 0; i < rules.requestClasses().size(); i++) {
            RequestClass requestClass = rules.requestClasses().get(i);
            String at = "/requestClasses/" + i;
            names.name(at + "/name", requestClass.name());
            checks.range(at + "/priority", requestClass.priority(), 0, MAX_PRIORITY);
            checks.range(
                    at + "/deadlineMillis",
                    requestClass.deadlineMillis(),
                    1,
                    rules.retentionMillis() / 2);
            checks.range(at + "/floorPercent", requestClass.floorPercent(), 0, HUNDRED_PERCENT);
            checks.range(
                    at + "/extraCostPercent", requestClass.extraCostPercent(), 0, HUNDRED_PERCENT);
            floors += requestClass.floorPercent();
            checks.require(
                    floors <= HUNDRED_PERCENT,
                    at + "/floorPercent",
                    "floors of all request classes that add up to 100 at the most");
        }
    }

    private void validatePipelines(Checks checks) {
        Checks.Unique names = checks.unique("pipeline name");
        for (int i = 0; i < rules.pipelines().size(); i++) {
            Pipeline pipeline = rules.pipelines().get(i);
            String at = "/pipelines/" + i;
            names.name(at + "/name", pipeline.name());
            int stages = pipeline.stages().size();
            checks.require(
                    stages >= 1 && stages <= Pipeline.MAX_STAGES, at + "/stages", "1 to 6 stages");
            Checks.Unique stageNames = checks.unique("stage name");
            for (int j = 0; j < stages; j++) {
                Stage stage = pipeline.stages().get(j);
                String here = at + "/stages/" + j;
                stageNames.name(here + "/name", stage.name());
                validateStage(checks, here, stage);
            }
        }
    }

    private void validateStage(Checks checks, String at, Stage stage) {
        Optional<Pool> pool = inventory.pool(stage.pool());
        checks.require(pool.isPresent(), at + "/pool", "the name of a pool in the inventory");
        if (pool.isEmpty()) {
            return;
        }
        if (pool.get().kind() == PoolKind.MODEL_ENGINE) {
            checks.require(
                    pool.get().models().contains(stage.model()),
                    at + "/model",
                    "one of the models of pool " + stage.pool() + " " + pool.get().models());
            checks.range(at + "/maxTokens", stage.maxTokens(), 1, MAX_TOKENS);
        }
        if (pool.get().kind() == PoolKind.PLAIN_SERVICE) {
            checks.require(stage.path().startsWith("/"), at + "/path", "a path that starts with /");
        }
    }
}
