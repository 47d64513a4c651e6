package org.bronzewheel.steward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.stream.IntStream;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.inventory.Inventory;
import org.bronzewheel.inventory.ModelVersion;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.machine.Step;
import org.bronzewheel.machine.VirtualNetwork;
import org.bronzewheel.membership.MembershipView;
import org.bronzewheel.transport.Peer;

/**
 * Stewards in virtual time with engines that ignore fencing numbers, so that a test sees every
 * order that a wrong steward sends. Tests set the membership view of each router, also to wrong
 * ones.
 */
final class StewardFixture {
    static final StewardSettings SETTINGS = StewardSettings.DEFAULT;
    static final int ROUTERS = 6;
    static final int ENGINES = 3;
    static final int MODEL_MEGABYTES = 1_000;

    private static final int MAX_SEND_DELAY_MILLIS = 2_000;
    private static final int MAX_ORDER_MILLIS = 3_000;

    /** A running router. */
    final class Router {
        final Peer self;
        private final StewardMachine machine;
        private Configuration configuration;

        private Router(Peer self) {
            this.self = self;
            machine = new StewardMachine(self, SETTINGS, network.nowNanos(), rules);
        }

        void setView(Set<String> suspects) {
            apply(now -> machine.setView(view(suspects), now));
        }

        void setConfiguration(long revision) {
            if (configuration == null || configuration.revision() < revision) {
                configuration = configuration(revision);
                apply(now -> machine.setConfiguration(configuration, now));
            }
        }

        void release() {
            apply(now -> machine.releaseAll());
        }

        boolean holds() {
            return !machine.heldPools(network.nowNanos()).isEmpty();
        }

        private void tick() {
            if (isRunning()) {
                network.runOn(self.vmId(), () -> apply(machine::tick));
                network.after(SETTINGS.tickMillis(), this::tick);
            }
        }

        private boolean isRunning() {
            return routers.get(self.vmId()) == this;
        }

        private void apply(LongFunction<Step<StewardMessage, EngineOrder>> input) {
            if (!isRunning()) {
                return;
            }
            Step<StewardMessage, EngineOrder> step = input.apply(network.nowNanos());
            step.messages()
                    .forEach(
                            out ->
                                    network.deliver(
                                            self.vmId(),
                                            out.toVmId(),
                                            () -> receive(out.toVmId(), self, out.message())));
            step.events().forEach(this::sendLater);
        }

        /**
         * Delays the send, as the process may pause between the decision and the check before it.
         */
        private void sendLater(EngineOrder order) {
            long delayMillis = network.random().nextInt(MAX_SEND_DELAY_MILLIS);
            network.after(delayMillis, () -> network.runOn(self.vmId(), () -> send(order)));
        }

        private void send(EngineOrder order) {
            if (!isRunning()) {
                return;
            }
            if (!machine.isSendAllowed(order, network.nowNanos())) {
                apply(now -> machine.orderSkipped(order, now));
                return;
            }
            checkSender(this);
            long delayMillis = network.random().nextInt(1, MAX_ORDER_MILLIS);
            network.after(delayMillis, () -> arrive(this, order));
        }

        private void complete(EngineOrder order, OrderResult result) {
            network.runOn(
                    self.vmId(), () -> apply(now -> machine.orderCompleted(order, result, now)));
        }
    }

    final VirtualNetwork network;
    final Map<String, Router> routers = new LinkedHashMap<>();
    final List<String> violations = new ArrayList<>();
    final Map<String, Long> engineRevisions = new HashMap<>();
    final List<Long> loadStartsNanos = new ArrayList<>();
    private final Set<StewardRule> rules;
    private final int weightStoreMegabytesPerSecond;
    private final Map<String, List<OrderedModel>> engineModels = new HashMap<>();
    private long nextIncarnation = 1;

    StewardFixture(long seed, Set<StewardRule> rules, int weightStoreMegabytesPerSecond) {
        network = new VirtualNetwork(seed);
        this.rules = rules;
        this.weightStoreMegabytesPerSecond = weightStoreMegabytesPerSecond;
    }

    void startAll(long revision) {
        IntStream.range(0, ROUTERS).forEach(i -> start(vmId(i), revision));
    }

    void start(String vmId, long revision) {
        Router router = new Router(new Peer(vmId, nextIncarnation++));
        routers.put(vmId, router);
        router.setView(Set.of());
        router.setConfiguration(revision);
        router.tick();
    }

    static String vmId(int index) {
        return "vm-" + index;
    }

    List<Router> holders() {
        return routers.values().stream().filter(Router::holds).toList();
    }

    Configuration configuration(long revision) {
        List<ModelVersion> models =
                List.of(new ModelVersion("m", "v" + revision, MODEL_MEGABYTES, List.of()));
        List<Upstream> upstreams =
                IntStream.range(0, ENGINES)
                        .mapToObj(i -> new Upstream("engine-" + i, "e-" + i, "10.0.0.1:1", "d"))
                        .toList();
        Pool pool =
                new Pool(
                        "pool",
                        PoolKind.MODEL_ENGINE,
                        1,
                        true,
                        false,
                        false,
                        false,
                        0,
                        List.of("m"),
                        upstreams);
        Inventory inventory =
                new Inventory(
                        List.of(), models, List.of(pool), List.of(), weightStoreMegabytesPerSecond);
        return new Configuration(revision, "digest-" + revision, inventory, null);
    }

    private static MembershipView view(Set<String> suspects) {
        List<String> vmIds = IntStream.range(0, ROUTERS).mapToObj(StewardFixture::vmId).toList();
        return StewardViews.of(vmIds, suspects);
    }

    private void receive(String to, Peer from, StewardMessage message) {
        Router router = routers.get(to);
        if (router != null) {
            router.apply(now -> router.machine.receive(from, message, now));
        }
    }

    private void checkSender(Router sender) {
        if (!sender.holds()) {
            violations.add(sender.self + " sent an order without the lease");
        }
        for (Router other : routers.values()) {
            if (other != sender && other.holds()) {
                violations.add(
                        sender.self + " sent an order while " + other.self + " held the lease");
            }
        }
    }

    private void arrive(Router sender, EngineOrder order) {
        long revision = Long.parseLong(order.models().get(0).version().substring(1));
        long before = engineRevisions.getOrDefault(order.upstreamName(), 0L);
        if (revision < before) {
            violations.add(
                    order.upstreamName()
                            + " was moved back from revision "
                            + before
                            + " to "
                            + revision);
        }
        engineRevisions.put(order.upstreamName(), revision);
        boolean held =
                order.models().equals(engineModels.put(order.upstreamName(), order.models()));
        if (!held) {
            loadStartsNanos.add(network.nowNanos());
        }
        sender.complete(order, held ? OrderResult.DONE : OrderResult.LOADING);
    }
}
