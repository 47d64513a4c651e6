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
 * The orders of one steward to the engines of its pool.
 *
 * <p>The fencing number is the revision of the configuration followed by a count, so that an order
 * of an older configuration is refused whichever steward sends it. Stewards with the same
 * configuration send the same orders.
 */
final class PoolOrders {
    private static final int COUNT_BITS = 20;
    private static final int MAX_IN_FLIGHT = 8;
    private static final int LOADING_DIVISOR = 4;

    private final StewardSettings settings;
    private final Map<String, EngineState> engines = new LinkedHashMap<>();
    private final Map<String, Integer> megabytesByModel = new LinkedHashMap<>();
    private List<OrderedModel> models = List.of();
    private WeightBudget budget;
    private long configurationRevision;
    private long count;

    PoolOrders(
            StewardSettings settings,
            long revision,
            Inventory inventory,
            Pool pool,
            long nowNanos) {
        this.settings = settings;
        setModels(inventory, pool);
        double debt = models.stream().mapToDouble(m -> megabytes(List.of(m))).max().orElse(0);
        budget = new WeightBudget(share(inventory, pool), debt, nowNanos);
        follow(revision, inventory, pool, nowNanos);
    }

    long configurationRevision() {
        return configurationRevision;
    }

    /** Follows a configuration. */
    void follow(long revision, Inventory inventory, Pool pool, long nowNanos) {
        if (revision == configurationRevision) {
            return;
        }
        configurationRevision = revision;
        count = 0;
        List<OrderedModel> before = models;
        setModels(inventory, pool);
        budget = budget.withRate(share(inventory, pool), nowNanos);
        List<String> names = pool.upstreams().stream().map(Upstream::name).toList();
        engines.keySet().retainAll(names);
        names.forEach(name -> engines.computeIfAbsent(name, n -> new EngineState(n, nowNanos)));
        if (!before.equals(models)) {
            engines.values().forEach(engine -> engine.orderNow(nowNanos));
        }
    }

    /** Takes the orders that may leave now. */
    List<EngineOrder> takeDue(long nowNanos) {
        List<EngineOrder> due = new ArrayList<>();
        for (EngineState engine : engines.values()) {
            if (engine.isDue(nowNanos) && mayOrder(engine, nowNanos)) {
                EngineOrder order = new EngineOrder(engine.upstreamName(), fencingNumber(), models);
                engine.sent(order);
                due.add(order);
            }
        }
        return due;
    }

    boolean has(String upstreamName) {
        return engines.containsKey(upstreamName);
    }

    boolean isCurrent(EngineOrder order) {
        return order.fencingNumber() >> COUNT_BITS == configurationRevision;
    }

    /** Takes back an order that did not leave. */
    void skipped(EngineOrder order, long nowNanos) {
        EngineState engine = engines.get(order.upstreamName());
        if (engine != null) {
            engine.end(order, nowNanos);
        }
    }

    void completed(EngineOrder order, OrderResult result, long nowNanos) {
        EngineState engine = engines.get(order.upstreamName());
        long pauseMillis =
                result == OrderResult.DONE ? settings.repeatMillis() : settings.pollMillis();
        long nextNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(pauseMillis);
        if (engine == null || !engine.end(order, nextNanos)) {
            return;
        }
        switch (result) {
            case DONE -> completeLoad(engine, order, nowNanos);
            case LOADING, UNKNOWN -> chargeLoad(engine, order, nowNanos);
            case FENCED -> count++;
        }
        if (!order.models().equals(models)) {
            // The configuration changed while the order was on its way.
            engine.orderNow(nowNanos);
        }
    }

    private void completeLoad(EngineState engine, EngineOrder order, long nowNanos) {
        boolean changed = !engine.heldModels().isEmpty() && !isHeld(engine, order.models());
        if (changed && engine.beginLoad()) {
            budget.charge(missingMegabytes(engine, order.models()), nowNanos);
        }
        engine.done(order.models());
    }

    private void chargeLoad(EngineState engine, EngineOrder order, long nowNanos) {
        if (!engine.beginLoad()) {
            return;
        }
        // An engine that loads what it held before has lost all of it.
        double megabytes =
                isHeld(engine, order.models())
                        ? megabytes(order.models())
                        : missingMegabytes(engine, order.models());
        budget.charge(megabytes, nowNanos);
    }

    /** While the rate is limited, an engine is ordered only after the one before has responded. */
    private boolean mayOrder(EngineState engine, long nowNanos) {
        long inFlight = engines.values().stream().filter(EngineState::isInFlight).count();
        if (inFlight >= (budget.isLimited() ? 1 : MAX_IN_FLIGHT)) {
            return false;
        }
        if (engine.isLoading()) {
            return true;
        }
        long loading = engines.values().stream().filter(EngineState::isLoading).count();
        long maxLoading = Math.max(1, engines.size() / LOADING_DIVISOR);
        return loading < maxLoading && budget.allows(nowNanos);
    }

    private long fencingNumber() {
        return (configurationRevision << COUNT_BITS) + count;
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
        return megabytes(
                wanted.stream().filter(model -> !engine.heldModels().contains(model)).toList());
    }

    private double megabytes(Collection<OrderedModel> some) {
        return some.stream()
                .mapToDouble(model -> megabytesByModel.getOrDefault(model.model(), 0))
                .sum();
    }

    /** The part of the weight store's rate that falls to a pool by its number of engines. */
    private static double share(Inventory inventory, Pool pool) {
        long all =
                inventory.pools().stream()
                        .filter(p -> p.kind() == PoolKind.MODEL_ENGINE)
                        .mapToLong(p -> p.upstreams().size())
                        .sum();
        double part = (double) pool.upstreams().size() / Math.max(1, all);
        return inventory.weightStoreMegabytesPerSecond() * part;
    }
}
