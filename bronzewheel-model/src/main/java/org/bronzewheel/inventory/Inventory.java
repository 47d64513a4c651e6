package org.bronzewheel.inventory;

import java.util.List;
import java.util.Optional;

/**
 * The operators' inventory of the regions, models, upstream pools and workspaces.
 *
 * @param regions regions with their failure domains
 * @param models models that engines serve permanently
 * @param pools upstream pools
 * @param workspaces workspaces that may send requests
 * @param weightStoreMegabytesPerSecond the bandwidth of the weight store for the whole fleet, in
 *     megabytes per second, 0 for no limit
 */
public record Inventory(
        List<Region> regions,
        List<ModelVersion> models,
        List<Pool> pools,
        List<Workspace> workspaces,
        int weightStoreMegabytesPerSecond) {
    /**
     * Finds a pool by name.
     *
     * @param name the name
     * @return the pool, or empty
     */
    public Optional<Pool> pool(String name) {
        return pools.stream().filter(p -> p.name().equals(name)).findFirst();
    }

    /**
     * Finds a workspace by name.
     *
     * @param name the name
     * @return the workspace, or empty
     */
    public Optional<Workspace> workspace(String name) {
        return workspaces.stream().filter(w -> w.name().equals(name)).findFirst();
    }
}
