package org.bronzewheel.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import java.util.Map;
import org.bronzewheel.inventory.PoolKind;

/** A stand-in for an encoder, a retriever or a reranker. */
public final class StagePoolStandIn extends CallStandIn {
    private final PoolKind kind;

    /**
     * Creates a stand-in.
     *
     * @param vertx runs the server
     * @param settings its name, address and capacity
     * @param kind what it computes
     * @param ledger records its runs
     */
    public StagePoolStandIn(Vertx vertx, UpstreamSettings settings, PoolKind kind, Ledger ledger) {
        super(vertx, settings, ledger, new KeyStore(false));
        this.kind = kind;
    }

    @Override
    void addRoutes(Router router) {
        router.delete("/v1/stage/*").handler(this::cancel);
        super.addRoutes(router);
    }

    @Override
    JsonNode output(String path, JsonNode input) {
        return ExpectedAnswers.stageOutput(kind, input);
    }

    @Override
    Object body(Answer answer) {
        return Map.of(
                "attemptId",
                answer.attemptId(),
                "output",
                answer.output(),
                "usage",
                answer.usage());
    }
}
