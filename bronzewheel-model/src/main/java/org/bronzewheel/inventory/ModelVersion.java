package org.bronzewheel.inventory;

import java.util.List;

/**
 * A model in the version to be served, with its adapters.
 *
 * @param name the name, unique among models
 * @param version the version that engines shall hold
 * @param sizeMegabytes what a load takes from the weight store, in megabytes
 * @param adapters names of the adapters that shall be loaded with it
 */
public record ModelVersion(String name, String version, int sizeMegabytes, List<String> adapters) {}
