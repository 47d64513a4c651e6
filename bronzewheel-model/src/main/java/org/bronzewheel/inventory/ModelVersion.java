package org.bronzewheel.inventory;

import java.util.List;

/**
 * The version of a model to serve, with its adapters.
 *
 * @param name the name, unique among models
 * @param version the version that engines have to load
 * @param sizeMegabytes the amount read from the weight store per load, in megabytes
 * @param adapters names of the adapters to load with the model
 */
public record ModelVersion(String name, String version, int sizeMegabytes, List<String> adapters) {}
