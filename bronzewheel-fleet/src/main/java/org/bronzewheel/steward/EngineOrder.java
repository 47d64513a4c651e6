package org.bronzewheel.steward;

import java.util.List;

/**
 * An order to a model engine: what it shall hold. Orders are declarative, so that repeating one
 * does no harm.
 *
 * @param upstreamName the engine
 * @param fencingNumber grows from steward to steward and from order to order
 * @param models the models with versions and adapters that the engine shall hold
 */
public record EngineOrder(String upstreamName, long fencingNumber, List<OrderedModel> models) {}
