package org.bronzewheel.steward;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.bronzewheel.machine.StateMachineRunner;
import org.bronzewheel.membership.MembershipService;
import org.bronzewheel.relay.ConfigurationService;
import org.bronzewheel.service.Service;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.PeerTransport;

/**
 * Runs the stewards over the peer transport: orders engines to hold the models that the inventory
 * names for their pools.
 */
public final class PeerStewardService implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final MembershipService membership;
    private final ConfigurationService configurations;
    private final OrderSender orderSender;
    private final StewardSettings settings;
    private final Scheduler scheduler;
    private final StewardMachine machine;
    private final StateMachineRunner<StewardMessage, EngineOrder> host;
    private final CompositeDisposable subscriptions = new CompositeDisposable();

    /**
     * Creates a service; the transport must be started after this and before the service.
     *
     * @param transport carries the messages
     * @param membership the source of the membership views
     * @param configurations the source of the inventory
     * @param orderSender sends the orders to the engines
     * @param settings the intervals and durations
     * @param scheduler runs ticks
     * @param nanoClock reads the monotonic time, in nanoseconds
     */
    public PeerStewardService(
            PeerTransport transport,
            MembershipService membership,
            ConfigurationService configurations,
            OrderSender orderSender,
            StewardSettings settings,
            Scheduler scheduler,
            LongSupplier nanoClock) {
        this.membership = membership;
        this.configurations = configurations;
        this.orderSender = orderSender;
        this.settings = settings;
        this.scheduler = scheduler;
        machine = new StewardMachine(transport.self(), settings, nanoClock.getAsLong());
        host =
                new StateMachineRunner<>(
                        machine,
                        out ->
                                transport.send(
                                        out.toVmId(),
                                        Channel.STEWARD,
                                        StewardCodec.encode(out.message())),
                        this::sendOrder,
                        scheduler,
                        nanoClock,
                        settings.tickMillis());
        transport.listen(
                Channel.STEWARD,
                (from, payload) -> host.receive(from, StewardCodec.decode(payload)));
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
                        .subscribe(next -> host.apply(now -> machine.setConfiguration(next, now))));
        host.start();
    }

    /** Stops the service and releases its leases, so that successors need not wait for them. */
    @Override
    public void stop() {
        subscriptions.dispose();
        host.stop();
        host.apply(now -> machine.releaseAll());
    }

    /**
     * Returns the pools of which this router is the steward.
     *
     * @return names of pools
     */
    public Set<String> heldPools() {
        return host.query(machine::heldPools);
    }

    private void sendOrder(EngineOrder order) {
        boolean sendAllowed = host.query(nowNanos -> machine.isSendAllowed(order, nowNanos));
        if (!sendAllowed) {
            host.apply(nowNanos -> machine.orderSkipped(order, nowNanos));
            return;
        }
        logger.atInfo().log(
                "sending an order to engine %s: models %s, fencing number %s",
                order.upstreamName(), order.models(), order.fencingNumber());
        Single.defer(() -> orderSender.send(order))
                .timeout(settings.sendMarginMillis(), TimeUnit.MILLISECONDS, scheduler)
                .onErrorReturnItem(OrderResult.UNKNOWN)
                .subscribe(result -> complete(order, result), error -> {}, subscriptions);
    }

    private void complete(EngineOrder order, OrderResult result) {
        logger.atInfo().log("order to engine %s ended: %s", order.upstreamName(), result);
        host.apply(nowNanos -> machine.orderCompleted(order, result, nowNanos));
    }
}
