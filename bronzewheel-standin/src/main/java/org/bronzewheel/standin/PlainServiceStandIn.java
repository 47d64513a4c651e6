package org.bronzewheel.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;

/** A stand-in for a plain service, which may or may not check idempotency keys. */
public final class PlainServiceStandIn extends CallStandIn {
    /**
     * Creates a stand-in.
     *
     * @param vertx runs the server
     * @param settings its name, address and capacity
     * @param ledger records its runs
     * @param keys the keys that all upstreams of its pool share
     */
    PlainServiceStandIn(Vertx vertx, UpstreamSettings settings, Ledger ledger, KeyStore keys) {
        super(vertx, settings, ledger, keys);
    }

    /**
     * Creates a stand-in that is alone in its pool.
     *
     * @param vertx runs the server
     * @param settings its name, address and capacity
     * @param checksKeys whether it runs each idempotency key once
     * @param ledger records its runs
     */
    public PlainServiceStandIn(
            Vertx vertx, UpstreamSettings settings, boolean checksKeys, Ledger ledger) {
        this(vertx, settings, ledger, new KeyStore(checksKeys));
    }

    @Override
    JsonNode output(String path, JsonNode input) {
        return ExpectedAnswers.serviceOutput(path, input);
    }

    @Override
    Object body(Answer answer) {
        return answer.output();
    }
}
