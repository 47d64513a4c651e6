package org.bronzewheel.router;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Set;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.cost.CostEntry;
import org.bronzewheel.execution.Execution;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.membership.Member;
import org.bronzewheel.membership.MembershipView;
import org.bronzewheel.relay.ConfigurationRefusal;
import org.bronzewheel.relay.ConfigurationService;
import org.bronzewheel.telemetry.RouterMetrics;
import org.bronzewheel.transport.Peer;

/** The status of a router as operators see it. */
final class StatusReport {
    private static final JsonMapper MAPPER = new JsonMapper();

    private final Peer self;
    private final String failureDomain;
    private final Execution execution;
    private final RouterMetrics metrics;

    StatusReport(Peer self, String failureDomain, Execution execution, RouterMetrics metrics) {
        this.self = self;
        this.failureDomain = failureDomain;
        this.execution = execution;
        this.metrics = metrics;
    }

    String write(
            RouterState state,
            ConfigurationService configurations,
            MembershipView view,
            Set<String> leaving) {
        ObjectNode status = MAPPER.createObjectNode();
        status.put("vmId", self.vmId());
        status.put("incarnation", self.incarnation());
        status.put("failureDomain", failureDomain);
        status.put("state", state.name());
        ObjectNode inForce = status.putObject("configuration");
        inForce.put("revision", configurations.current().map(Configuration::revision).orElse(0L));
        inForce.put("digest", configurations.current().map(Configuration::digest).orElse(""));
        ArrayNode refusals = status.putArray("refusals");
        configurations.refusals().forEach(refusal -> add(refusals, refusal));
        status.putObject("vmList").put("revision", view.list().revision());
        ArrayNode members = status.putArray("members");
        view.members().forEach(member -> add(members, member));
        ArrayNode upstreams = status.putArray("upstreams");
        configurations.current().ifPresent(c -> add(upstreams, c, leaving));
        status.put("requestsInProgress", execution.requests().runningCount());
        status.set("outcomes", MAPPER.valueToTree(metrics.outcomes()));
        ArrayNode cost = status.putArray("cost");
        execution.costs().forEach(entry -> add(cost, entry));
        return status.toString();
    }

    private static void add(ArrayNode refusals, ConfigurationRefusal refusal) {
        ObjectNode json = refusals.addObject();
        json.put("revision", refusal.revision());
        json.put("digest", refusal.digest());
        json.put("reason", refusal.reason());
    }

    private static void add(ArrayNode members, Member member) {
        ObjectNode json = members.addObject();
        json.put("vmId", member.vm().vmId());
        json.put("failureDomain", member.vm().failureDomain());
        json.put("state", member.vm().state().name());
        json.put("health", member.health().name());
        json.put("incarnation", member.incarnation());
        json.put("vmListRevision", member.listRevision());
        json.put("configurationRevision", member.configurationRevision());
    }

    private void add(ArrayNode upstreams, Configuration configuration, Set<String> leaving) {
        for (Pool pool : configuration.inventory().pools()) {
            for (Upstream upstream : pool.upstreams()) {
                ObjectNode json = upstreams.addObject();
                json.put("name", upstream.name());
                json.put("pool", pool.name());
                json.put("vmId", upstream.vmId());
                json.put("leaving", leaving.contains(upstream.name()));
                json.put("estimatedLoad", execution.estimatedLoad(pool, upstream));
            }
        }
    }

    private static void add(ArrayNode cost, CostEntry entry) {
        ObjectNode json = cost.addObject();
        json.put("pipeline", entry.pipeline());
        json.put("stage", entry.stage());
        json.put("workspace", entry.workspace());
        json.put("kind", entry.kind().name());
        json.put("calls", entry.calls());
        json.put("promptTokens", entry.usage().promptTokens());
        json.put("completionTokens", entry.usage().completionTokens());
        json.put("workerMillis", entry.usage().workerMillis());
    }
}
