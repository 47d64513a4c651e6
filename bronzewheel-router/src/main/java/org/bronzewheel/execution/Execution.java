package org.bronzewheel.execution;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.bronzewheel.answer.AnswerService;
import org.bronzewheel.claim.ClaimService;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.cost.CostEntry;
import org.bronzewheel.cost.CostKind;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.membership.MembershipService;
import org.bronzewheel.policy.PolicySettings;
import org.bronzewheel.policy.RouterPolicy;
import org.bronzewheel.relay.ConfigurationService;
import org.bronzewheel.request.Usage;
import org.bronzewheel.routing.LoadReport;
import org.bronzewheel.routing.WorkerTable;
import org.bronzewheel.telemetry.RouterMetrics;
import org.bronzewheel.telemetry.Tracing;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.PeerTransport;

/** The execution of requests, put together from its parts. */
public final class Execution {
    private final PolicyWorkers workers;
    private final RequestService requests;
    private final String vmId;
    private final DrainGate gate = new DrainGate();

    /**
     * Puts the parts together and serves the peers' calls; to be done before the transport starts.
     *
     * @param failureDomain the failure domain of this router
     * @param policySettings constants of the policies
     * @param clients the clients of the upstreams
     * @param transport carries calls between routers
     * @param configurations gives the configuration in force
     * @param membership tells which peers work
     * @param claims claims idempotency keys
     * @param answers keeps answers
     * @param metrics receives counts
     * @param tracing makes spans
     * @param scheduler runs timers
     * @param nanoClock the monotonic clock
     * @param random the source of randomness of the policies
     */
    public Execution(
            String failureDomain,
            PolicySettings policySettings,
            StageClients clients,
            PeerTransport transport,
            ConfigurationService configurations,
            MembershipService membership,
            ClaimService claims,
            AnswerService answers,
            RouterMetrics metrics,
            Tracing tracing,
            Scheduler scheduler,
            LongSupplier nanoClock,
            RandomGenerator random) {
        this.vmId = transport.self().vmId();
        this.workers =
                new PolicyWorkers(
                        new RouterPolicy<>(failureDomain, 1, policySettings),
                        scheduler,
                        nanoClock,
                        random);
        ExecutionServices services =
                new ExecutionServices(
                        clients,
                        workers,
                        workers,
                        claims,
                        booking(workers, metrics),
                        metrics,
                        tracing,
                        scheduler,
                        nanoClock);
        RequestTable table = new RequestTable(transport.self());
        PeerRequests peers = new PeerRequests(transport, table, scheduler);
        RequestReader reader = new RequestReader(table, peers, answers, membership, scheduler);
        transport.serve(Channel.REQUEST, peers);
        this.requests =
                new RequestService(
                        services, configurations, answers, workers, table, reader, peers, gate);
    }

    private static CostSink booking(PolicyWorkers workers, RouterMetrics metrics) {
        return (String pipeline, String stage, String workspace, CostKind kind, Usage usage) -> {
            workers.book(pipeline, stage, workspace, kind, usage);
            metrics.cost(pipeline, stage, kind.name(), usage);
        };
    }

    /**
     * Returns the router's requests.
     *
     * @return the service
     */
    public RequestService requests() {
        return requests;
    }

    /**
     * Takes over the pools of a configuration and what is known of their upstreams.
     *
     * @param configuration the configuration in force
     * @param leaving names of upstreams that must get no new work
     * @param routers ids of the VMs of all listed routers, in order
     */
    public void update(Configuration configuration, Set<String> leaving, List<String> routers) {
        int position = routers.indexOf(vmId);
        workers.update(
                configuration.inventory().workspaces(),
                configuration.inventory().pools(),
                leaving,
                routers.size(),
                position < 0 ? WorkerTable.UNKNOWN_POSITION : position);
    }

    /**
     * Takes the load report of an upstream.
     *
     * @param pool its pool
     * @param report the report
     */
    public void onLoadReport(Pool pool, LoadReport report) {
        workers.onLoadReport(pool, report);
    }

    /**
     * Takes a cache event of a model engine; an event without a readable hash is ignored.
     *
     * @param pool its pool
     * @param upstream its name
     * @param prefixHash the hash in hexadecimal
     * @param stored whether the prefix was stored, else evicted
     */
    public void onCacheEvent(Pool pool, String upstream, String prefixHash, boolean stored) {
        long hash = PrefixHash.parse(prefixHash);
        if (hash != 0) {
            workers.onPrefix(pool, upstream, hash, stored);
        }
    }

    /**
     * Returns the cost by stage, workspace and kind.
     *
     * @return the lines of the cost totals
     */
    public List<CostEntry> costs() {
        return workers.costs();
    }

    /**
     * Returns the load of an upstream as this router sees it.
     *
     * @param pool its pool
     * @param upstream the upstream
     * @return calls in flight of all routers, estimated
     */
    public double estimatedLoad(Pool pool, Upstream upstream) {
        return workers.estimatedLoad(pool, upstream);
    }

    /**
     * Refuses new requests from now on.
     *
     * @return completes once each request in progress has ended
     */
    public Completable drain() {
        return gate.close();
    }
}
