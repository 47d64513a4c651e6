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
 * The limits of workspaces and pools over a transport: tells what this router may spend of each.
 *
 * <p>A limit of a workspace has the name {@code workspace/} and its name, one of a pool the name
 * {@code pool/} and its name.
 */
public final class PeerLimitService implements Service {
    private static final String WORKSPACE = "workspace/";
    private static final String POOL = "pool/";

    private final MembershipService membership;
    private final ConfigurationService configurations;
    private final LimitMachine machine;
    private final StateMachineRunner<LimitMessage, LimitShare> host;
    private final FlowableProcessor<LimitShare> shares =
            PublishProcessor.<LimitShare>create().toSerialized();
    private final CompositeDisposable work = new CompositeDisposable();

    /**
     * Creates a service; the transport must be started after this and before the service.
     *
     * @param transport carries the messages
     * @param membership tells the peers
     * @param configurations tells the limits
     * @param settings the times
     * @param scheduler runs ticks
     * @param nanoClock the monotonic time, in nanoseconds
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
        work.add(
                membership
                        .changes()
                        .subscribe(view -> host.apply(now -> machine.setView(view, now))));
        work.add(
                configurations
                        .changes()
                        .map(PeerLimitService::limits)
                        .subscribe(limits -> host.apply(now -> machine.setLimits(limits, now))));
        host.start();
    }

    @Override
    public void stop() {
        work.dispose();
        host.stop();
    }

    /**
     * Returns the name of the limit of a workspace.
     *
     * @param workspace the name of the workspace
     * @return the name of its limit
     */
    public static String ofWorkspace(String workspace) {
        return WORKSPACE + workspace;
    }

    /**
     * Returns the name of the limit of a pool.
     *
     * @param pool the name of the pool
     * @return the name of its limit
     */
    public static String ofPool(String pool) {
        return POOL + pool;
    }

    /**
     * Tells what this router would spend of a limit; to be repeated about once a second while it is
     * in use.
     *
     * @param limit the name of the limit; others than those of the configuration are ignored
     * @param demandPerSecond what it would spend without the limit, per second
     */
    public void setDemand(String limit, double demandPerSecond) {
        host.apply(nowNanos -> machine.setDemand(limit, demandPerSecond, nowNanos));
    }

    /**
     * Returns what this router may spend of a limit now.
     *
     * @param limit the name of the limit
     * @return what it may spend, per second; 0 for an unknown limit
     */
    public double allowedPerSecond(String limit) {
        return host.query(nowNanos -> machine.allowedPerSecond(limit, nowNanos));
    }

    /**
     * Returns the shares as they change.
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
                                        ofWorkspace(workspace.name()),
                                        (double) workspace.requestsPerSecondLimit()));
        configuration.inventory().pools().stream()
                .filter(pool -> pool.callsPerSecondLimit() > 0)
                .forEach(
                        pool ->
                                limits.put(
                                        ofPool(pool.name()), (double) pool.callsPerSecondLimit()));
        return limits;
    }
}
