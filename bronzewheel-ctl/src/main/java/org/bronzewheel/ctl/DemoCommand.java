package org.bronzewheel.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.bronzewheel.demo.Demo;
import org.bronzewheel.demo.DemoReport;
import org.bronzewheel.judge.VerdictJson;
import org.bronzewheel.judge.VerdictTable;

/** The subcommand that shows the main job on stand-ins. */
@Parameters(
        commandDescription =
                "Starts stand-ins and three routers in this process, sends a mixed load while a"
                        + " router is killed, an upstream leaves and another router stops as"
                        + " planned, and judges the answers. The last line is one JSON object."
                        + " Exit status 1 where a promise was broken.")
final class DemoCommand extends HelpFlag {
    private static final int MAX_PRINTED_VIOLATIONS = 20;
    private static final Logger ROOT_LOGGER = Logger.getLogger("");

    @ParametersDelegate private final ConfigurationFlags configuration = new ConfigurationFlags();

    @ParametersDelegate private final TrafficFlags traffic = new TrafficFlags();

    @Parameter(names = "--logs", description = "Prints the routers' warnings as well.")
    private boolean logsWanted;

    @Override
    public int run(PrintStream out, PrintStream err) {
        ROOT_LOGGER.setLevel(logsWanted ? Level.WARNING : Level.OFF);
        DemoReport report = Demo.run(configuration.read(), traffic.settings(), traffic.mix(), out);
        report.verdict().violations().stream().limit(MAX_PRINTED_VIOLATIONS).forEach(out::println);
        out.println();
        out.println(VerdictTable.of(report.verdict()));
        out.println("ended without an answer, sends counted: " + report.endCodes());
        report.unanswered().forEach(line -> out.println("  " + line));
        ObjectNode json = VerdictJson.of(report.verdict());
        json.put("cutOffByPlannedStop", report.cutOffByPlannedStop());
        json.put("runsAfterLeaving", report.runsAfterLeaving());
        out.println(json);
        return report.isClean() ? OK : FOUND_WRONG;
    }
}
