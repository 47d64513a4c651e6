package org.bronzewheel.measure;

import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.inventory.Workspace;
import org.bronzewheel.rules.Pipeline;
import org.bronzewheel.rules.RequestClass;
import org.bronzewheel.rules.Stage;

/**
 * The places, pools and requests of one deployment.
 *
 * @param name the name
 * @param failureDomains the number of failure domains
 * @param betweenDomainsMillis one-way latency between failure domains
 * @param toClientsMillis one-way latency to clients
 * @param routers the number of routers
 * @param pools the pools
 * @param workspaces the workspaces; their weight is their part of the requests
 * @param kinds what is sent
 */
record Profile(
        String name,
        int failureDomains,
        double betweenDomainsMillis,
        double toClientsMillis,
        int routers,
        List<Pool> pools,
        List<Workspace> workspaces,
        List<Kind> kinds) {
    private static final int ENGINE_CONCURRENCY = 8;
    private static final int SERVICE_CONCURRENCY = 4;
    private static final String ENGINE = "engine";

    static Profile tokachi() {
        return create("tokachi", 3, 0.5, 1, 8, 6, "booking", 3, List.of(3, 4, 4));
    }

    static Profile ikaze() {
        return create("ikaze", 4, 1.5, 3, 9, 13, "portal", 4, List.of(4, 4, 4));
    }

    Pool pool(String poolName) {
        return pools.stream().filter(p -> p.name().equals(poolName)).findFirst().orElseThrow();
    }

    /** Returns requests a second at load 1: the last pool of the kind is then fully used. */
    double ratePerSecond(Kind kind) {
        int last = kind.stageMillis().size() - 1;
        Pool pool = pool(kind.pipeline().stages().get(last).pool());
        double slots = (double) pool.upstreams().size() * pool.concurrencyPerUpstream();
        return slots * kind.loadPercent() / 100 * 1000 / kind.stageMillis().get(last);
    }

    private static Profile create(
            String name,
            int domains,
            double betweenMillis,
            double toClientsMillis,
            int routers,
            int engines,
            String service,
            int serviceWorkers,
            List<Integer> stageWorkers) {
        List<Pool> pools = new ArrayList<>();
        pools.add(pool(PoolKind.ENCODER, "encoder", 8, true, stageWorkers.get(0), domains));
        pools.add(pool(PoolKind.RETRIEVER, "retriever", 8, true, stageWorkers.get(1), domains));
        pools.add(pool(PoolKind.RERANKER, "reranker", 8, true, stageWorkers.get(2), domains));
        pools.add(pool(PoolKind.MODEL_ENGINE, ENGINE, ENGINE_CONCURRENCY, true, engines, domains));
        pools.add(
                pool(
                        PoolKind.PLAIN_SERVICE,
                        service,
                        SERVICE_CONCURRENCY,
                        false,
                        serviceWorkers,
                        domains));
        List<Workspace> workspaces = new ArrayList<>();
        List<Integer> weights = List.of(40, 30, 15, 10, 5);
        for (int i = 0; i < weights.size(); i++) {
            workspaces.add(new Workspace("workspace-" + (i + 1), weights.get(i), 0));
        }
        List<Kind> kinds =
                List.of(
                        model(new RequestClass("urgent", 0, 1_500, 0, 5), 250, 0.3, 30, 25),
                        model(new RequestClass("standard", 1, 3_000, 20, 5), 600, 0.3, 15, 40),
                        model(new RequestClass("bulk", 2, 20_000, 10, 5), 2_500, 0.4, 5, 35),
                        plain(new RequestClass("page", 0, 500, 0, 5), service, true, 60),
                        plain(new RequestClass("booking", 0, 500, 0, 5), service, false, 40));
        return new Profile(
                name, domains, betweenMillis, toClientsMillis, routers, pools, workspaces, kinds);
    }

    static Pool pool(
            PoolKind kind, String name, int concurrency, boolean reports, int size, int domains) {
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            String upstream = name + "-" + (i + 1);
            upstreams.add(new Upstream(upstream, upstream, "127.0.0.1:1", "domain-" + i % domains));
        }
        return new Pool(
                name, kind, concurrency, reports, false, false, false, 0, List.of(), upstreams);
    }

    private static Kind model(
            RequestClass requestClass,
            double generateMillis,
            double spread,
            int prefillPercent,
            int loadPercent) {
        List<Stage> stages = new ArrayList<>();
        for (String pool : List.of("encoder", "retriever", "reranker", ENGINE)) {
            stages.add(new Stage(pool, pool, true, "", "", 0));
        }
        return new Kind(
                requestClass,
                new Pipeline("answer-" + requestClass.name(), stages),
                List.of(5.0, 15.0, 20.0, generateMillis),
                spread,
                prefillPercent,
                loadPercent);
    }

    private static Kind plain(
            RequestClass requestClass, String pool, boolean idempotent, int loadPercent) {
        Stage stage = new Stage(pool, pool, idempotent, "", "/", 0);
        Pipeline pipeline = new Pipeline(requestClass.name(), List.of(stage));
        return new Kind(requestClass, pipeline, List.of(20.0), 0.3, 0, loadPercent);
    }
}
