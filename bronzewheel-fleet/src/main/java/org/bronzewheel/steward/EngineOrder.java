package org.bronzewheel.steward;

import java.util.List;

/**
 * An order to a model engine that states the models it must hold. Orders are declarative, so an
 * order can be repeated safely.
 *
 * @param upstreamName the engine
 * @param fencingNumber increases across stewards and orders; the engine refuses an order with a
 *     lower number
 * @param models the models with versions and adapters that the engine must hold
 */
public record EngineOrder(String upstreamName, long fencingNumber, List<OrderedModel> models) {}
