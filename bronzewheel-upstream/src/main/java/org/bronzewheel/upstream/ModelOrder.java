package org.bronzewheel.upstream;

import java.util.List;

/**
 * A model that an engine shall hold.
 *
 * @param model the name
 * @param version the version
 * @param adapters names of its adapters
 */
public record ModelOrder(String model, String version, List<String> adapters) {}
