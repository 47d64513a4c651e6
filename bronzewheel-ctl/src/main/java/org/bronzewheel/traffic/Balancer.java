package org.bronzewheel.traffic;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzewheel.service.Service;

/**
 * The platform's balancer as callers see it: routers in turn, those that say that they are not
 * ready left out.
 */
public final class Balancer implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long CHECK_PERIOD_MILLIS = 100;
    private static final int CHECK_TIMEOUT_MILLIS = 500;
    private static final int OK = 200;

    private final Vertx vertx;
    private final HttpClient client;
    private final Map<String, Boolean> readyByRouter = new LinkedHashMap<>();
    private int turn;
    private long timer;

    /**
     * Creates a balancer.
     *
     * @param vertx runs the checks
     * @param routers the routers, {@code host:port}
     */
    public Balancer(Vertx vertx, List<String> routers) {
        this.vertx = vertx;
        HttpClientOptions options = new HttpClientOptions();
        options.setConnectTimeout(CHECK_TIMEOUT_MILLIS);
        this.client = vertx.createHttpClient(options);
        routers.forEach(this::add);
    }

    /** {@inheritDoc} */
    @Override
    public void start() {
        timer = vertx.setPeriodic(CHECK_PERIOD_MILLIS, id -> check());
    }

    /** {@inheritDoc} */
    @Override
    public void stop() {
        vertx.cancelTimer(timer);
        client.close().onFailure(e -> logger.atFine().withCause(e).log("close failed"));
    }

    /**
     * Adds a router.
     *
     * @param router {@code host:port}
     */
    public synchronized void add(String router) {
        readyByRouter.put(router, true);
    }

    /**
     * Chooses the next router in turn.
     *
     * @param except routers to avoid where another one is ready
     * @return {@code host:port}
     */
    public synchronized String next(List<String> except) {
        List<String> ready = readyByRouter.keySet().stream().filter(readyByRouter::get).toList();
        List<String> all = ready.isEmpty() ? List.copyOf(readyByRouter.keySet()) : ready;
        List<String> others = all.stream().filter(r -> !except.contains(r)).toList();
        List<String> candidates = others.isEmpty() ? all : others;
        turn++;
        return candidates.get(Math.floorMod(turn, candidates.size()));
    }

    /**
     * Lists the routers that are ready.
     *
     * @return {@code host:port} of each
     */
    public synchronized List<String> ready() {
        return readyByRouter.keySet().stream().filter(readyByRouter::get).toList();
    }

    private synchronized void mark(String router, boolean ready) {
        readyByRouter.put(router, ready);
    }

    private void check() {
        List<String> routers;
        synchronized (this) {
            routers = List.copyOf(readyByRouter.keySet());
        }
        routers.forEach(this::check);
    }

    private void check(String router) {
        int colon = router.lastIndexOf(':');
        client.request(
                        HttpMethod.GET,
                        Integer.parseInt(router.substring(colon + 1)),
                        router.substring(0, colon),
                        "/health/ready")
                .compose(request -> request.idleTimeout(CHECK_TIMEOUT_MILLIS).send())
                .map(HttpClientResponse::statusCode)
                .onSuccess(status -> mark(router, status == OK))
                .onFailure(e -> mark(router, false));
    }
}
