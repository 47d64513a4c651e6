package org.bronzewheel.steward;

import java.util.List;

/**
 * An order to a model engine that states the models it must hold. Orders are declarative, so an
 * order can be repeated safely.
 *
 * @param upstreamName the engine
 * @param fencingNumber never decreases from one order or steward to the next; the engine refuses an
 *     order with a lower number than it has seen
 * @param models the models with versions and adapters that the engine must hold
 */
public record EngineOrder(String upstreamName, long fencingNumber, List<OrderedModel> models) {}
