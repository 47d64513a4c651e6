package org.bronzewheel.execution;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.TextNode;
import io.opentelemetry.context.Context;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.answer.StoredAnswer;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.configuration.ConfigurationDocument;
import org.bronzewheel.configuration.ConfigurationParser;
import org.bronzewheel.policy.PolicySettings;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.telemetry.RouterMetrics;
import org.bronzewheel.telemetry.Tracing;

/** An execution on virtual time whose upstreams and peers the test plays. */
final class Fixture {
    static final String INVENTORY =
            """
            regions:
              - {name: r1, failureDomains: [fd-1]}
            models:
              - {name: scribe, version: "1", sizeMegabytes: 1}
            pools:
              - name: encoders
                kind: ENCODER
                upstreams:
                  - {name: encoder-1, vmId: up-1, address: "10.0.0.1:1", failureDomain: fd-1}
                  - {name: encoder-2, vmId: up-2, address: "10.0.0.2:1", failureDomain: fd-1}
              - name: engines
                kind: MODEL_ENGINE
                models: [scribe]
                upstreams:
                  - {name: engine-1, vmId: up-3, address: "10.0.0.3:1", failureDomain: fd-1}
                  - {name: engine-2, vmId: up-4, address: "10.0.0.4:1", failureDomain: fd-1}
              - name: booking
                kind: PLAIN_SERVICE
                upstreams:
                  - {name: booking-1, vmId: up-5, address: "10.0.0.5:1", failureDomain: fd-1}
                  - {name: booking-2, vmId: up-6, address: "10.0.0.6:1", failureDomain: fd-1}
              - name: checked
                kind: PLAIN_SERVICE
                checksKeys: true
                upstreams:
                  - {name: checked-1, vmId: up-7, address: "10.0.0.7:1", failureDomain: fd-1}
                  - {name: checked-2, vmId: up-8, address: "10.0.0.8:1", failureDomain: fd-1}
            workspaces:
              - {name: pilots, weight: 1}
            """;
    static final String RULES =
            """
            retentionMillis: 20000
            requestClasses:
              - {name: urgent, priority: 0, deadlineMillis: 3000}
            pipelines:
              - name: briefing
                stages:
                  - {name: encode, pool: encoders}
                  - {name: generate, pool: engines, model: scribe, maxTokens: 16}
              - name: encoding
                stages:
                  - {name: encode, pool: encoders}
              - name: voucher
                stages:
                  - {name: confirm, pool: booking, path: /confirm, idempotent: false}
              - name: checked-voucher
                stages:
                  - {name: confirm, pool: checked, path: /confirm, idempotent: false}
            """;
    private static final long SEED = 7;
    private static final JsonMapper MAPPER = new JsonMapper();

    static final long RETENTION_MILLIS = 20_000;

    final TestScheduler scheduler = new TestScheduler();
    final FakeStageClient client = new FakeStageClient();
    final FakeFleet fleet = new FakeFleet();
    final Execution execution;
    final RequestService requests;

    Fixture() {
        execution =
                new Execution(
                        "fd-1",
                        PolicySettings.defaults(),
                        kind -> client,
                        fleet.transport,
                        fleet.configurations,
                        fleet.membership,
                        fleet.claims,
                        fleet.answers,
                        new RouterMetrics(),
                        Tracing.create("vm-1", "fd-1", ""),
                        scheduler,
                        () -> scheduler.now(TimeUnit.NANOSECONDS),
                        new SplittableRandom(SEED));
        requests = execution.requests();
        use(configuration(1, INVENTORY));
    }

    static Configuration configuration(long revision, String inventory) {
        return new ConfigurationParser()
                .parse(new ConfigurationDocument(revision, inventory, RULES));
    }

    void use(Configuration configuration) {
        fleet.configurations.configuration = configuration;
        execution.update(configuration, Set.of(), List.of("vm-1"));
    }

    static PipelineRequest request(String pipeline, String key) {
        return request(pipeline, key, false);
    }

    static PipelineRequest request(String pipeline, String key, boolean streamed) {
        return new PipelineRequest(
                pipeline,
                "urgent",
                "pilots",
                key,
                TextNode.valueOf("hello"),
                streamed,
                Context.root());
    }

    /** Submits a request; the observer gets the id of the request to read. */
    TestObserver<RequestId> submit(PipelineRequest request) {
        TestObserver<RequestId> id = requests.submit(requests.nextId(), request).test();
        scheduler.triggerActions();
        return id;
    }

    /** Submits a request that is taken in, and reads it to its end. */
    TestSubscriber<ReadResult> run(PipelineRequest request) {
        RequestId id = submit(request).assertValueCount(1).values().get(0);
        return requests.follow(id, 0).test();
    }

    void advanceMillis(long millis) {
        scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    }

    static StoredAnswer end(TestSubscriber<ReadResult> reading) {
        reading.assertComplete();
        return reading.values().get(reading.values().size() - 1).answer();
    }

    static JsonNode body(StoredAnswer answer) {
        try {
            return MAPPER.readTree(answer.body());
        } catch (JsonProcessingException e) {
            throw new AssertionError(e);
        }
    }
}
