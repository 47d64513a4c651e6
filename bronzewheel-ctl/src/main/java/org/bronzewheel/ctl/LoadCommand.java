package org.bronzewheel.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.configuration.ConfigurationDocument;
import org.bronzewheel.configuration.ConfigurationParser;
import org.bronzewheel.judge.EndCodes;
import org.bronzewheel.judge.Judge;
import org.bronzewheel.judge.LatencyReport;
import org.bronzewheel.judge.SendCounts;
import org.bronzewheel.judge.Verdict;
import org.bronzewheel.judge.VerdictJson;
import org.bronzewheel.judge.VerdictTable;
import org.bronzewheel.judge.Violation;
import org.bronzewheel.standin.Run;
import org.bronzewheel.traffic.Balancer;
import org.bronzewheel.traffic.LoadRunner;
import org.bronzewheel.traffic.PlannedRequest;
import org.bronzewheel.traffic.RequestResult;
import org.bronzewheel.traffic.RouterCaller;
import org.bronzewheel.traffic.TrafficMix;
import org.bronzewheel.traffic.TrafficPlan;
import org.bronzewheel.traffic.TrafficSettings;

/** The subcommand that sends an open-loop load to running routers and judges it. */
@Parameters(
        commandDescription =
                "Sends an open-loop load to running routers before stand-ins and judges the"
                        + " answers. Latencies count from the planned time of each request, so"
                        + " that a stalled router can't hide its delay (coordinated omission)."
                        + " Exit status 1 where an answer was lost, doubled or misrouted.")
final class LoadCommand extends HelpFlag {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_PRINTED_VIOLATIONS = 20;
    private static final long MILLIS_PER_SECOND = 1_000;

    @ParametersDelegate private final ConfigurationFlags configuration = new ConfigurationFlags();

    @ParametersDelegate private final TrafficFlags traffic = new TrafficFlags();

    @Parameter(
            names = "--router",
            required = true,
            converter = AddressConverter.class,
            description = "Address of a router, host:port; may be repeated.")
    private List<String> routers;

    @Parameter(
            names = "--platform",
            converter = AddressConverter.class,
            description = "Reads the configuration from this platform, host:port.")
    private String platform;

    @Parameter(
            names = "--ledger",
            converter = AddressConverter.class,
            description =
                    "Judges doubles and cost by the ledger of this upstream stand-in, host:port;"
                            + " may be repeated where stand-ins run in several processes.")
    private List<String> ledgers = new ArrayList<>();

    @Override
    public int run(PrintStream out, PrintStream err) {
        Vertx vertx = Vertx.vertx();
        try {
            return run(vertx, out, err);
        } finally {
            vertx.close().onFailure(e -> err.println(e.getMessage()));
        }
    }

    private int run(Vertx vertx, PrintStream out, PrintStream err) {
        HttpReader reader = new HttpReader(vertx);
        Configuration used = new ConfigurationParser().parse(document(reader));
        TrafficMix mix = traffic.mix();
        mix.check(used.rules());
        TrafficSettings settings = traffic.settings();
        List<PlannedRequest> requests =
                new TrafficPlan(used, mix, settings, System.currentTimeMillis()).requests();
        err.printf(
                "sending %d requests in %d s%n",
                requests.size(), settings.durationMillis() / MILLIS_PER_SECOND);
        List<RequestResult> results = send(vertx, requests);
        Verdict verdict = new Judge(used).judge(results, runs(reader));
        print(verdict, results, out, err);
        return verdict.total().isClean() ? OK : FOUND_WRONG;
    }

    private ConfigurationDocument document(HttpReader reader) {
        if (platform == null) {
            return configuration.read();
        }
        JsonNode read = reader.get(platform, "/v1/configuration?after=0&waitMillis=0");
        return new ConfigurationDocument(
                read.path("revision").asLong(),
                read.path("inventory").asText(),
                read.path("rules").asText());
    }

    private List<RequestResult> send(Vertx vertx, List<PlannedRequest> requests) {
        Balancer balancer = new Balancer(vertx, routers);
        balancer.start();
        try {
            return new LoadRunner(new RouterCaller(vertx), balancer, result -> {})
                    .run(requests)
                    .blockingGet();
        } finally {
            balancer.stop();
        }
    }

    private List<Run> runs(HttpReader reader) {
        List<Run> runs = new ArrayList<>();
        for (String ledger : ledgers) {
            for (JsonNode run : reader.get(ledger, "/admin/ledger").path("runs")) {
                try {
                    runs.add(MAPPER.treeToValue(run, Run.class));
                } catch (JsonProcessingException e) {
                    throw new IllegalStateException("the ledger of " + ledger, e);
                }
            }
        }
        return runs;
    }

    private static void print(
            Verdict verdict, List<RequestResult> results, PrintStream out, PrintStream err) {
        verdict.violations().stream()
                .limit(MAX_PRINTED_VIOLATIONS)
                .map(Violation::toString)
                .forEach(err::println);
        err.print(VerdictTable.of(verdict));
        err.println("ended without an answer, sends counted: " + EndCodes.of(results));
        EndCodes.describe(results, MAX_PRINTED_VIOLATIONS).forEach(err::println);
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        SendCounts.of(results).addTo(json);
        json.setAll(VerdictJson.of(verdict));
        json.set("latencyMillis", LatencyReport.of(results));
        out.println(json);
    }
}
