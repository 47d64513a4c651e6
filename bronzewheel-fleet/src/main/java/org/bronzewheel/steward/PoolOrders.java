package org.bronzewheel.steward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.inventory.Inventory;
import org.bronzewheel.inventory.ModelVersion;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.inventory.Upstream;

/**
 * Schedules the orders of one steward to the engines of its pool.
 *
 * <p>The fencing number is the revision of the configuration followed by a count, so that an engine
 * refuses an order of an older configuration, whichever steward sends it. Stewards with the same
 * configuration send the same orders.
 */
final class PoolOrders {
    private static final int COUNT_BITS = 20;
    private static final int MAX_IN_FLIGHT = 8;
    private static final int MAX_LOADING_DIVISOR = 4;

    private final StewardSettings settings;
    private final Map<String, EngineState> engines = new LinkedHashMap<>();
    private final Map<String, Integer> megabytesByModel = new LinkedHashMap<>();
    private List<OrderedModel> models = List.of();
    private WeightBudget budget;
    private long configurationRevision;
    private long orderCount;

    PoolOrders(
            StewardSettings settings,
            long revision,
            Inventory inventory,
            Pool pool,
            long nowNanos) {
        this.settings = settings;
        setModels(inventory, pool);
        double debt = models.stream().mapToDouble(m -> sizeMegabytes(List.of(m))).max().orElse(0);
        budget = new WeightBudget(poolRate(inventory, pool), debt, nowNanos);
        applyConfiguration(revision, inventory, pool, nowNanos);
    }

    long configurationRevision() {
        return configurationRevision;
    }

    /**
     * Applies a configuration of another revision; the debt of the weight budget stays.
     *
     * <p>Engines that remain in the pool keep their state with the order in flight; the state of an
     * engine that the configuration removes is dropped, and so is the result of its order. If the
     * models change, all engines are due, those with an order in flight once it has ended.
     */
    void applyConfiguration(long revision, Inventory inventory, Pool pool, long nowNanos) {
        if (revision == configurationRevision) {
            return;
        }
        configurationRevision = revision;
        orderCount = 0;
        List<OrderedModel> before = models;
        setModels(inventory, pool);
        budget = budget.withRate(poolRate(inventory, pool), nowNanos);
        List<String> names = pool.upstreams().stream().map(Upstream::name).toList();
        engines.keySet().retainAll(names);
        names.forEach(name -> engines.computeIfAbsent(name, n -> new EngineState(n, nowNanos)));
        if (!before.equals(models)) {
            engines.values().forEach(engine -> engine.makeDue(nowNanos));
        }
    }

    /** Returns the orders that may be sent now and marks them as in flight. */
    List<EngineOrder> pollDueOrders(long nowNanos) {
        List<EngineOrder> due = new ArrayList<>();
        for (EngineState engine : engines.values()) {
            if (engine.isDue(nowNanos) && mayOrder(engine, nowNanos)) {
                EngineOrder order = new EngineOrder(engine.upstreamName(), fencingNumber(), models);
                engine.orderSent(order);
                due.add(order);
            }
        }
        return due;
    }

    boolean hasEngine(String upstreamName) {
        return engines.containsKey(upstreamName);
    }

    boolean isCurrent(EngineOrder order) {
        return order.fencingNumber() >> COUNT_BITS == configurationRevision;
    }

    /** Ends an order that was not sent; its engine is due again at once. */
    void orderSkipped(EngineOrder order, long nowNanos) {
        EngineState engine = engines.get(order.upstreamName());
        if (engine != null) {
            engine.endOrder(order, nowNanos);
        }
    }

    void orderCompleted(EngineOrder order, OrderResult result, long nowNanos) {
        EngineState engine = engines.get(order.upstreamName());
        long pauseMillis =
                result == OrderResult.DONE ? settings.repeatMillis() : settings.pollMillis();
        long nextNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(pauseMillis);
        if (engine == null || !engine.endOrder(order, nextNanos)) {
            return;
        }
        switch (result) {
            case DONE -> completeLoad(engine, order, nowNanos);
            case LOADING, UNKNOWN -> chargeLoad(engine, order, nowNanos);
            case FENCED -> orderCount++;
        }
        if (!order.models().equals(models)) {
            // The configuration changed while the order was in flight.
            engine.makeDue(nowNanos);
        }
    }

    private void completeLoad(EngineState engine, EngineOrder order, long nowNanos) {
        boolean changed = !engine.heldModels().isEmpty() && !isHeld(engine, order.models());
        if (changed && engine.markLoading()) {
            budget.charge(missingMegabytes(engine, order.models()), nowNanos);
        }
        engine.modelsLoaded(order.models());
    }

    private void chargeLoad(EngineState engine, EngineOrder order, long nowNanos) {
        if (!engine.markLoading()) {
            return;
        }
        // An engine that may be loading models which it held before is assumed to have lost all of
        // its models.
        double megabytes =
                isHeld(engine, order.models())
                        ? sizeMegabytes(order.models())
                        : missingMegabytes(engine, order.models());
        budget.charge(megabytes, nowNanos);
    }

    /**
     * Returns whether an order may be sent to an engine now; with a limited load rate only after
     * the previous order of the pool has ended.
     */
    private boolean mayOrder(EngineState engine, long nowNanos) {
        long inFlight = engines.values().stream().filter(EngineState::isInFlight).count();
        if (inFlight >= (budget.isLimited() ? 1 : MAX_IN_FLIGHT)) {
            return false;
        }
        if (engine.isLoading()) {
            return true;
        }
        long loading = engines.values().stream().filter(EngineState::isLoading).count();
        long maxLoading = Math.max(1, engines.size() / MAX_LOADING_DIVISOR);
        return loading < maxLoading && budget.allows(nowNanos);
    }

    private long fencingNumber() {
        return (configurationRevision << COUNT_BITS) + orderCount;
    }

    private void setModels(Inventory inventory, Pool pool) {
        List<OrderedModel> ordered = new ArrayList<>();
        megabytesByModel.clear();
        for (String name : pool.models()) {
            inventory.models().stream()
                    .filter(model -> model.name().equals(name))
                    .forEach(model -> ordered.add(toOrder(model)));
        }
        models = List.copyOf(ordered);
    }

    private OrderedModel toOrder(ModelVersion model) {
        megabytesByModel.put(model.name(), model.sizeMegabytes());
        return new OrderedModel(model.name(), model.version(), model.adapters());
    }

    private static boolean isHeld(EngineState engine, List<OrderedModel> wanted) {
        return engine.heldModels().containsAll(wanted);
    }

    private double missingMegabytes(EngineState engine, List<OrderedModel> wanted) {
        return sizeMegabytes(
                wanted.stream().filter(model -> !engine.heldModels().contains(model)).toList());
    }

    private double sizeMegabytes(Collection<OrderedModel> ordered) {
        return ordered.stream()
                .mapToDouble(model -> megabytesByModel.getOrDefault(model.model(), 0))
                .sum();
    }

    /**
     * Returns a pool's share of the weight store's rate, in proportion to its number of engines.
     */
    private static double poolRate(Inventory inventory, Pool pool) {
        long allEngines =
                inventory.pools().stream()
                        .filter(p -> p.kind() == PoolKind.MODEL_ENGINE)
                        .mapToLong(p -> p.upstreams().size())
                        .sum();
        double fraction = (double) pool.upstreams().size() / Math.max(1, allEngines);
        return inventory.weightStoreMegabytesPerSecond() * fraction;
    }
}
