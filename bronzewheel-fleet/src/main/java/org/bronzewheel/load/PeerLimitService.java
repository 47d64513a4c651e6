package org.bronzewheel.load;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.processors.FlowableProcessor;
import io.reactivex.rxjava3.processors.PublishProcessor;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.machine.StateMachineRunner;
import org.bronzewheel.membership.MembershipService;
import org.bronzewheel.relay.ConfigurationService;
import org.bronzewheel.service.Service;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.PeerTransport;

/**
 * Shares the rate limits of workspaces and pools among routers over the peer transport and reports
 * what this router may use of each.
 *
 * <p>A workspace's limit is named {@code workspace/} followed by the workspace's name, a pool's
 * limit {@code pool/} followed by the pool's name.
 */
public final class PeerLimitService implements Service {
    private static final String WORKSPACE_PREFIX = "workspace/";
    private static final String POOL_PREFIX = "pool/";

    private final MembershipService membership;
    private final ConfigurationService configurations;
    private final LimitMachine machine;
    private final StateMachineRunner<LimitMessage, LimitShare> host;
    private final FlowableProcessor<LimitShare> shares =
            PublishProcessor.<LimitShare>create().toSerialized();
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    /**
     * Creates a service; the transport must be started after this and before the service.
     *
     * @param transport carries the messages
     * @param membership the source of the membership views
     * @param configurations the source of the limits
     * @param settings the intervals and durations
     * @param scheduler runs ticks
     * @param nanoClock reads the monotonic time, in nanoseconds
     */
    public PeerLimitService(
            PeerTransport transport,
            MembershipService membership,
            ConfigurationService configurations,
            LimitSettings settings,
            Scheduler scheduler,
            LongSupplier nanoClock) {
        this.membership = membership;
        this.configurations = configurations;
        machine = new LimitMachine(settings, nanoClock.getAsLong());
        host =
                new StateMachineRunner<>(
                        machine,
                        out ->
                                transport.send(
                                        out.toVmId(),
                                        Channel.LOAD,
                                        LimitCodec.encode(out.message())),
                        shares::onNext,
                        scheduler,
                        nanoClock,
                        settings.tickMillis());
        transport.listen(
                Channel.LOAD, (from, payload) -> host.receive(from, LimitCodec.decode(payload)));
    }

    @Override
    public void start() {
        subscriptions.add(
                membership
                        .changes()
                        .subscribe(view -> host.apply(now -> machine.setView(view, now))));
        subscriptions.add(
                configurations
                        .changes()
                        .map(PeerLimitService::limits)
                        .subscribe(limits -> host.apply(now -> machine.setLimits(limits, now))));
        host.start();
    }

    @Override
    public void stop() {
        subscriptions.dispose();
        host.stop();
    }

    /**
     * Returns the name of the limit of a workspace.
     *
     * @param workspace the name of the workspace
     * @return the name of its limit
     */
    public static String workspaceLimit(String workspace) {
        return WORKSPACE_PREFIX + workspace;
    }

    /**
     * Returns the name of the limit of a pool.
     *
     * @param pool the name of the pool
     * @return the name of its limit
     */
    public static String poolLimit(String pool) {
        return POOL_PREFIX + pool;
    }

    /**
     * Sets what this router would use of a limit; must be repeated about once a second while the
     * limit is in use.
     *
     * @param limit the name of the limit; names that the configuration lacks are ignored
     * @param demandPerSecond what it would use without the limit, per second
     */
    public void setDemand(String limit, double demandPerSecond) {
        host.apply(nowNanos -> machine.setDemand(limit, demandPerSecond, nowNanos));
    }

    /**
     * Returns what this router may use of a limit now.
     *
     * @param limit the name of the limit
     * @return what it may use, per second; 0 for an unknown limit
     */
    public double allowedPerSecond(String limit) {
        return host.query(nowNanos -> machine.allowedPerSecond(limit, nowNanos));
    }

    /**
     * Returns this router's shares as they change.
     *
     * @return changed shares
     */
    public Flowable<LimitShare> changes() {
        return shares.onBackpressureBuffer();
    }

    private static Map<String, Double> limits(Configuration configuration) {
        Map<String, Double> limits = new TreeMap<>();
        configuration.inventory().workspaces().stream()
                .filter(workspace -> workspace.requestsPerSecondLimit() > 0)
                .forEach(
                        workspace ->
                                limits.put(
                                        workspaceLimit(workspace.name()),
                                        (double) workspace.requestsPerSecondLimit()));
        configuration.inventory().pools().stream()
                .filter(pool -> pool.callsPerSecondLimit() > 0)
                .forEach(
                        pool ->
                                limits.put(
                                        poolLimit(pool.name()),
                                        (double) pool.callsPerSecondLimit()));
        return limits;
    }
}
