package org.bronzewheel.configuration;

import java.util.List;
import org.bronzewheel.inventory.Inventory;
import org.bronzewheel.inventory.ModelVersion;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.inventory.Region;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.inventory.Workspace;

/** The form of the inventory file. */
record InventoryFile(
        List<RegionForm> regions,
        List<ModelForm> models,
        List<PoolForm> pools,
        List<WorkspaceForm> workspaces,
        Integer weightStoreMegabytesPerSecond)
        implements FileForm<Inventory> {
    private static final int DEFAULT_CONCURRENCY = 8;

    @Override
    public Inventory toRecord() {
        return new Inventory(
                Defaults.records(regions),
                Defaults.records(models),
                Defaults.records(pools),
                Defaults.records(workspaces),
                Defaults.orElse(weightStoreMegabytesPerSecond, 0));
    }

    record RegionForm(String name, List<String> failureDomains) implements FileForm<Region> {
        @Override
        public Region toRecord() {
            return new Region(Defaults.orElse(name, ""), Defaults.list(failureDomains));
        }
    }

    record ModelForm(String name, String version, Integer sizeMegabytes, List<String> adapters)
            implements FileForm<ModelVersion> {
        @Override
        public ModelVersion toRecord() {
            return new ModelVersion(
                    Defaults.orElse(name, ""),
                    Defaults.orElse(version, ""),
                    Defaults.orElse(sizeMegabytes, 0),
                    Defaults.list(adapters));
        }
    }

    record UpstreamForm(String name, String vmId, String address, String failureDomain)
            implements FileForm<Upstream> {
        @Override
        public Upstream toRecord() {
            return new Upstream(
                    Defaults.orElse(name, ""),
                    Defaults.orElse(vmId, ""),
                    Defaults.orElse(address, ""),
                    Defaults.orElse(failureDomain, ""));
        }
    }

    record WorkspaceForm(String name, Integer weight, Integer requestsPerSecondLimit)
            implements FileForm<Workspace> {
        @Override
        public Workspace toRecord() {
            return new Workspace(
                    Defaults.orElse(name, ""),
                    Defaults.orElse(weight, 1),
                    Defaults.orElse(requestsPerSecondLimit, 0));
        }
    }

    record PoolForm(
            String name,
            PoolKind kind,
            Integer concurrencyPerUpstream,
            Boolean reportsLoad,
            Boolean checksKeys,
            Boolean checksFencing,
            Boolean refusalProvesNotRun,
            Integer callsPerSecondLimit,
            List<String> models,
            List<UpstreamForm> upstreams)
            implements FileForm<Pool> {
        @Override
        public Pool toRecord() {
            return new Pool(
                    Defaults.orElse(name, ""),
                    Defaults.orElse(kind, PoolKind.PLAIN_SERVICE),
                    Defaults.orElse(concurrencyPerUpstream, DEFAULT_CONCURRENCY),
                    Defaults.orElse(reportsLoad, false),
                    Defaults.orElse(checksKeys, false),
                    Defaults.orElse(checksFencing, false),
                    Defaults.orElse(refusalProvesNotRun, false),
                    Defaults.orElse(callsPerSecondLimit, 0),
                    Defaults.list(models),
                    Defaults.records(upstreams));
        }
    }
}
