package org.bronzewheel.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzewheel.error.BronzewheelException;

/** The subcommand that shows what routers say about themselves. */
@Parameters(
        commandDescription =
                "Shows a fleet's revisions, VMs, upstreams and refusals. Exit status 1 where a"
                        + " router can't be read or their revisions differ.")
final class StatusCommand extends HelpFlag {
    private static final String ROW = "%-22s %-10s %-12s %-9s %13s %-10s %8s %9s %10s %9s%n";
    private static final int DIGEST_CHARS = 8;

    @Parameter(
            names = "--router",
            required = true,
            converter = AddressConverter.class,
            description = "Address of a router, host:port; may be repeated.")
    private List<String> routers;

    @Parameter(names = "--json", description = "Prints one JSON object by router instead.")
    private boolean json;

    @Override
    public int run(PrintStream out, PrintStream err) {
        Vertx vertx = Vertx.vertx();
        try {
            return run(new HttpReader(vertx), out, err);
        } finally {
            vertx.close().onFailure(e -> err.println(e.getMessage()));
        }
    }

    private int run(HttpReader reader, PrintStream out, PrintStream err) {
        Map<String, JsonNode> statuses = new LinkedHashMap<>();
        for (String router : routers) {
            try {
                statuses.put(router, reader.get(router, "/v1/status"));
            } catch (BronzewheelException e) {
                err.println(e.getMessage());
            }
        }
        if (json) {
            ObjectNode all = JsonNodeFactory.instance.objectNode();
            statuses.forEach(all::set);
            out.println(all);
        } else {
            printTable(statuses, out);
        }
        boolean allRead = statuses.size() == routers.size();
        return allRead && agree(statuses) ? OK : FOUND_WRONG;
    }

    private static boolean agree(Map<String, JsonNode> statuses) {
        long revisions =
                statuses.values().stream()
                        .map(s -> s.at("/configuration/revision").asText())
                        .distinct()
                        .count();
        return revisions <= 1;
    }

    private static void printTable(Map<String, JsonNode> statuses, PrintStream out) {
        out.printf(
                ROW,
                "router",
                "vm",
                "domain",
                "state",
                "configuration",
                "digest",
                "refusals",
                "vm list",
                "members",
                "requests");
        statuses.forEach((router, status) -> printRow(router, status, out));
        statuses.forEach((router, status) -> printRefusals(router, status, out));
        statuses.values().stream().findFirst().ifPresent(s -> printUpstreams(s, out));
    }

    private static void printRow(String router, JsonNode status, PrintStream out) {
        String digest = status.at("/configuration/digest").asText("");
        out.printf(
                ROW,
                router,
                status.path("vmId").asText(),
                status.path("failureDomain").asText(),
                status.path("state").asText(),
                status.at("/configuration/revision").asText("none"),
                digest.substring(0, Math.min(DIGEST_CHARS, digest.length())),
                status.path("refusals").size(),
                status.at("/vmList/revision").asText("none"),
                status.path("members").size(),
                status.path("requestsInProgress").asText());
    }

    private static void printRefusals(String router, JsonNode status, PrintStream out) {
        for (JsonNode refusal : status.path("refusals")) {
            out.println(router + " refused " + refusal);
        }
    }

    private static void printUpstreams(JsonNode status, PrintStream out) {
        for (JsonNode upstream : status.path("upstreams")) {
            out.println("upstream " + upstream);
        }
    }
}
