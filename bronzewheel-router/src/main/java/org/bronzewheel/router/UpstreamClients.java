package org.bronzewheel.router;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.execution.StageClients;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.service.Service;
import org.bronzewheel.upstream.ControlClient;
import org.bronzewheel.upstream.EngineClient;
import org.bronzewheel.upstream.HttpClients;
import org.bronzewheel.upstream.HttpStageClient;
import org.bronzewheel.upstream.LeavingListener;
import org.bronzewheel.upstream.PlatformClient;
import org.bronzewheel.upstream.StageClient;
import org.bronzewheel.upstream.UpstreamSettings;

/**
 * The clients of the upstreams and the platform. Each kind has connections of its own, so that
 * plain services never wait behind generation.
 */
final class UpstreamClients implements Service, StageClients {
    private static final int MAX_RESUMES = 3;

    private final List<HttpClient> clients = new ArrayList<>();
    private final StageClient engines;
    private final StageClient stagePools;
    private final StageClient plainServices;
    private final ControlClient control;
    private final PlatformClient platform;

    UpstreamClients(Vertx vertx, RouterSettings settings, LeavingListener leaving) {
        UpstreamSettings limits =
                new UpstreamSettings(
                        settings.connectTimeoutMillis(),
                        settings.maxConnectionsPerUpstream(),
                        settings.maxAnswerBytes(),
                        MAX_RESUMES);
        this.engines = new EngineClient(client(vertx, limits), limits, leaving);
        this.stagePools = new HttpStageClient(client(vertx, limits), limits, leaving);
        this.plainServices = new HttpStageClient(client(vertx, limits), limits, leaving);
        this.control = new ControlClient(client(vertx, limits));
        this.platform =
                new PlatformClient(
                        client(vertx, limits),
                        settings.configurationAddress(),
                        settings.vmListAddress());
    }

    private HttpClient client(Vertx vertx, UpstreamSettings limits) {
        HttpClient client = HttpClients.create(vertx, limits);
        clients.add(client);
        return client;
    }

    @Override
    public StageClient of(PoolKind kind) {
        return switch (kind) {
            case MODEL_ENGINE -> engines;
            case ENCODER, RETRIEVER, RERANKER -> stagePools;
            case PLAIN_SERVICE -> plainServices;
        };
    }

    ControlClient control() {
        return control;
    }

    PlatformClient platform() {
        return platform;
    }

    @Override
    public void start() {}

    @Override
    public void stop() {
        clients.forEach(HttpClient::close);
    }
}
