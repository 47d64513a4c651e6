package org.bronzewheel.standin;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.stream.Collectors;
import org.bronzewheel.inventory.Inventory;
import org.bronzewheel.inventory.ModelVersion;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.service.Service;

/** Stand-ins for each upstream of an inventory, with one ledger. */
public final class StandInFleet implements Service {
    private final Map<String, UpstreamStandIn> upstreams = new HashMap<>();
    private final Ledger ledger = new Ledger();

    /**
     * Creates the stand-ins.
     *
     * @param vertx runs the servers
     * @param inventory the upstreams
     * @param anyPort whether they listen on any free port instead of that of the inventory
     */
    public StandInFleet(Vertx vertx, Inventory inventory, boolean anyPort) {
        for (Pool pool : inventory.pools()) {
            KeyStore keys = new KeyStore(pool.checksKeys());
            for (Upstream upstream : pool.upstreams()) {
                UpstreamSettings settings =
                        UpstreamSettings.of(pool.name(), upstream.name())
                                .withAddress(upstream.host(), anyPort ? 0 : upstream.port());
                upstreams.put(upstream.name(), create(vertx, inventory, pool, settings, keys));
            }
        }
    }

    private UpstreamStandIn create(
            Vertx vertx, Inventory inventory, Pool pool, UpstreamSettings settings, KeyStore keys) {
        if (pool.kind() == PoolKind.PLAIN_SERVICE) {
            return new PlainServiceStandIn(vertx, settings, ledger, keys);
        }
        if (pool.kind() != PoolKind.MODEL_ENGINE) {
            return new StagePoolStandIn(vertx, settings, pool.kind(), ledger);
        }
        List<ModelVersion> models = new ArrayList<>();
        for (ModelVersion model : inventory.models()) {
            if (pool.models().contains(model.name())) {
                models.add(model);
            }
        }
        return new EngineStandIn(
                vertx, EngineSettings.of(settings, models, pool.checksFencing()), ledger);
    }

    /** {@inheritDoc} */
    @Override
    public void start() {
        upstreams.values().forEach(UpstreamStandIn::start);
    }

    /** {@inheritDoc} */
    @Override
    public void stop() {
        upstreams.values().forEach(UpstreamStandIn::stop);
    }

    /**
     * Returns the ledger of all upstreams.
     *
     * @return the ledger
     */
    public Ledger ledger() {
        return ledger;
    }

    /**
     * Returns where the upstreams listen.
     *
     * @return {@code host:port} by name of the upstream
     */
    public Map<String, String> addresses() {
        return upstreams.entrySet().stream()
                .collect(Collectors.toMap(Map.Entry::getKey, e -> e.getValue().address()));
    }

    /**
     * Returns one stand-in.
     *
     * @param name the name of the upstream
     * @return the stand-in
     * @throws java.util.NoSuchElementException where the inventory has no such upstream
     */
    public UpstreamStandIn upstream(String name) {
        UpstreamStandIn found = upstreams.get(name);
        if (found == null) {
            throw new NoSuchElementException(name);
        }
        return found;
    }
}
