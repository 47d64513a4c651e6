package org.bronzewheel.steward;

import java.util.List;

/**
 * A model that an engine must hold.
 *
 * @param model the name of the model
 * @param version the version
 * @param adapters names of its adapters
 */
public record OrderedModel(String model, String version, List<String> adapters) {}
