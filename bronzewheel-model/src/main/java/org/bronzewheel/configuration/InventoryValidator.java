package org.bronzewheel.configuration;

import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.bronzewheel.inventory.Inventory;
import org.bronzewheel.inventory.ModelVersion;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.Region;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.inventory.Workspace;

/** A validator of the inventory as a whole. */
final class InventoryValidator {
    private static final int MAX_CONCURRENCY = 100_000;
    private static final int MAX_RATE = 1_000_000;
    private static final int MAX_WEIGHT = 10_000;
    private static final Pattern ADDRESS =
            Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):\\d{1,5}");
    private static final int MAX_PORT = 65_535;

    private final Inventory inventory;
    private final Set<String> failureDomains;
    private final Set<String> models;

    InventoryValidator(Inventory inventory) {
        this.inventory = inventory;
        this.failureDomains =
                inventory.regions().stream()
                        .flatMap(r -> r.failureDomains().stream())
                        .collect(Collectors.toSet());
        this.models =
                inventory.models().stream().map(ModelVersion::name).collect(Collectors.toSet());
    }

    void validate(Report report) {
        Checks checks = new Checks(report);
        validateRegions(checks);
        validateModels(checks);
        validatePools(checks);
        validateWorkspaces(checks);
        checks.range(
                "/weightStoreMegabytesPerSecond",
                inventory.weightStoreMegabytesPerSecond(),
                0,
                MAX_RATE);
    }

    private void validateRegions(Checks checks) {
        checks.require(!inventory.regions().isEmpty(), "/regions", "at least one region");
        Checks.Unique names = checks.unique("region name");
        Checks.Unique domains = checks.unique("failure domain name");
        for (int i = 0; i < inventory.regions().size(); i++) {
            Region region = inventory.regions().get(i);
            names.name("/regions/" + i + "/name", region.name());
            for (int j = 0; j < region.failureDomains().size(); j++) {
                domains.name(
                        "/regions/" + i + "/failureDomains/" + j, region.failureDomains().get(j));
            }
        }
    }

    private void validateModels(Checks checks) {
        Checks.Unique names = checks.unique("model name");
        for (int i = 0; i < inventory.models().size(); i++) {
            ModelVersion model = inventory.models().get(i);
            String at = "/models/" + i;
            names.name(at + "/name", model.name());
            checks.require(!model.version().isEmpty(), at + "/version", "a version");
            checks.range(at + "/sizeMegabytes", model.sizeMegabytes(), 0, Integer.MAX_VALUE);
        }
    }

    private void validatePools(Checks checks) {
        Checks.Unique names = checks.unique("pool name");
        Checks.Unique upstreams = checks.unique("upstream name");
        for (int i = 0; i < inventory.pools().size(); i++) {
            Pool pool = inventory.pools().get(i);
            String at = "/pools/" + i;
            names.name(at + "/name", pool.name());
            checks.range(
                    at + "/concurrencyPerUpstream",
                    pool.concurrencyPerUpstream(),
                    1,
                    MAX_CONCURRENCY);
            checks.range(at + "/callsPerSecondLimit", pool.callsPerSecondLimit(), 0, MAX_RATE);
            for (int j = 0; j < pool.models().size(); j++) {
                checks.known(at + "/models/" + j, pool.models().get(j), models, "model");
            }
            validateUpstreams(checks, upstreams, at + "/upstreams", pool.upstreams());
        }
    }

    private void validateUpstreams(
            Checks checks, Checks.Unique names, String at, List<Upstream> upstreams) {
        checks.require(!upstreams.isEmpty(), at, "at least one upstream");
        for (int i = 0; i < upstreams.size(); i++) {
            Upstream upstream = upstreams.get(i);
            String here = at + "/" + i;
            names.name(here + "/name", upstream.name());
            checks.require(!upstream.vmId().isEmpty(), here + "/vmId", "the id of a VM");
            checks.require(isAddress(upstream), here + "/address", "an IP number and a port");
            checks.known(
                    here + "/failureDomain",
                    upstream.failureDomain(),
                    failureDomains,
                    "failure domain");
        }
    }

    private static boolean isAddress(Upstream upstream) {
        if (!ADDRESS.matcher(upstream.address()).matches()) {
            return false;
        }
        return upstream.port() >= 1 && upstream.port() <= MAX_PORT;
    }

    private void validateWorkspaces(Checks checks) {
        Checks.Unique names = checks.unique("workspace name");
        for (int i = 0; i < inventory.workspaces().size(); i++) {
            Workspace workspace = inventory.workspaces().get(i);
            String at = "/workspaces/" + i;
            names.name(at + "/name", workspace.name());
            checks.range(at + "/weight", workspace.weight(), 1, MAX_WEIGHT);
            checks.range(
                    at + "/requestsPerSecondLimit",
                    workspace.requestsPerSecondLimit(),
                    0,
                    MAX_RATE);
        }
    }
}
