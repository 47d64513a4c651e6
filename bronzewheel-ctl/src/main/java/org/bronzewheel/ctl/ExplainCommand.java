package org.bronzewheel.ctl;

import com.beust.jcommander.DynamicParameter;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.configuration.ConfigurationParser;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.explain.Explanation;
import org.bronzewheel.explain.RequestLife;
import org.bronzewheel.explain.Situation;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.rules.Rules;

/** The subcommand that explains what a router would decide, or did decide by its logs. */
@Parameters(
        commandDescription =
                "Explains from files which budgets and which order of workers a request would"
                        + " get, and why; with --request and --logs, what became of a request, from"
                        + " the logs of all routers. No router is asked.")
final class ExplainCommand extends HelpFlag {
    @ParametersDelegate private final ConfigurationFlags configuration = new ConfigurationFlags();

    @Parameter(names = "--pipeline", description = "The pipeline.")
    private String pipeline = "";

    @Parameter(names = "--class", description = "The request class.")
    private String requestClass = "";

    @Parameter(names = "--workspace", description = "The workspace.")
    private String workspace = "";

    @Parameter(names = "--request", description = "The id of a request that was served.")
    private String request = "";

    @Parameter(names = "--logs", description = "A file of routers' logs; repeated.")
    private List<String> logs = new ArrayList<>();

    @Parameter(
            names = "--beliefs",
            description = "With --request: also what its routers wrote about themselves meanwhile.")
    private boolean beliefs;

    @Parameter(
            names = "--failure-domain",
            description = "The failure domain of the router; the first one without.")
    private String failureDomain = "";

    @Parameter(
            names = "--routers",
            validateWith = AtLeastOneValidator.class,
            description = "The number of routers that share pools and limits.")
    private int routers = 3;

    @DynamicParameter(
            names = "--took",
            description = "The usual time of a stage: --took stage=milliseconds; repeated.")
    private Map<String, String> stageMillis = new HashMap<>();

    @DynamicParameter(
            names = "--load",
            description = "Calls in progress at an upstream: --load upstream=calls; repeated.")
    private Map<String, String> loads = new HashMap<>();

    @Parameter(names = "--leaving", description = "An upstream that is leaving; repeated.")
    private List<String> leaving = new ArrayList<>();

    @Parameter(names = "--seed", description = "The seed of the choice between workers.")
    private long seed = 1;

    @Override
    public int run(PrintStream out, PrintStream err) {
        if (!request.isEmpty() || !logs.isEmpty()) {
            return explainLife(out, err);
        }
        require("--pipeline", pipeline);
        require("--class", requestClass);
        require("--workspace", workspace);
        Configuration parsed = new ConfigurationParser().parse(configuration.read());
        Rules rules = parsed.rules();
        new Explanation(parsed, situation(parsed))
                .of(
                        known(rules.pipeline(pipeline), "pipeline", pipeline),
                        known(rules.requestClass(requestClass), "request class", requestClass),
                        known(parsed.inventory().workspace(workspace), "workspace", workspace))
                .forEach(out::println);
        return OK;
    }

    private int explainLife(PrintStream out, PrintStream err) {
        require("--request", request);
        if (logs.isEmpty()) {
            throw wrong("--logs is missing");
        }
        RequestLife life = new RequestLife(request);
        for (String file : logs) {
            try (Stream<String> lines = Files.lines(Path.of(file))) {
                life.read(lines);
            } catch (IOException | UncheckedIOException e) {
                throw new BronzewheelException(
                        ErrorCode.INVALID_SETTING,
                        Outcome.NOT_RUN,
                        "the log " + file + " cannot be read",
                        e);
            }
        }
        life.describe(beliefs).forEach(out::println);
        if (life.unreadableLines() > 0) {
            err.println(life.unreadableLines() + " lines are no log lines and were skipped");
        }
        if (!life.isKnown()) {
            err.println("no line is about request " + request);
            return FOUND_WRONG;
        }
        return OK;
    }

    private static void require(String flag, String value) {
        if (value.isEmpty()) {
            throw wrong(flag + " is missing");
        }
    }

    private Situation situation(Configuration parsed) {
        Map<String, Long> millis = new HashMap<>();
        stageMillis.forEach((stage, text) -> millis.put(stage, number("--took", text)));
        Map<String, Integer> calls = new HashMap<>();
        loads.forEach((upstream, text) -> calls.put(upstream, (int) number("--load", text)));
        return new Situation(
                failureDomain.isEmpty() ? firstFailureDomain(parsed) : failureDomain,
                routers,
                millis,
                calls,
                new HashSet<>(leaving),
                seed);
    }

    private static String firstFailureDomain(Configuration parsed) {
        return parsed.inventory().regions().stream()
                .flatMap(region -> region.failureDomains().stream())
                .findFirst()
                .orElse("");
    }

    private static long number(String flag, String text) {
        if (!text.matches("\\d{1,7}")) {
            throw wrong(flag + " is '" + text + "', expected a whole number from 0 to 9999999");
        }
        return Long.parseLong(text);
    }

    private static <T> T known(Optional<T> found, String what, String name) {
        return found.orElseThrow(() -> wrong("there is no " + what + " '" + name + "'"));
    }

    private static BronzewheelException wrong(String message) {
        return new BronzewheelException(ErrorCode.INVALID_SETTING, message);
    }
}
