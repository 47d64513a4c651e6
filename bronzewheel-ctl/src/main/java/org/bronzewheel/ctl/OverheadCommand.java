package org.bronzewheel.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.bronzewheel.overhead.OverheadReport;
import org.bronzewheel.overhead.OverheadSettings;
import org.bronzewheel.overhead.RouterOverhead;

/** The subcommand that measures a router's own cost. */
@Parameters(
        commandDescription =
                "Measures a router's own cost in real time: the same calls are sent to a stand-in"
                        + " directly and through one router, in turns, in this process. The last"
                        + " line is one JSON object.")
final class OverheadCommand extends HelpFlag {
    private static final Logger ROOT_LOGGER = Logger.getLogger("");

    @Parameter(
            names = "--rounds",
            description = "How often direct and routed calls take turns.",
            validateWith = AtLeastOneValidator.class)
    private int rounds = 5;

    @Parameter(
            names = "--calls",
            description = "Calls of each kind in a round.",
            validateWith = AtLeastOneValidator.class)
    private int calls = 20_000;

    @Parameter(
            names = "--concurrency",
            description = "Calls in progress at once.",
            validateWith = AtLeastOneValidator.class)
    private int concurrency = 16;

    @Override
    public int run(PrintStream out, PrintStream err) {
        ROOT_LOGGER.setLevel(Level.OFF);
        OverheadReport report =
                RouterOverhead.run(new OverheadSettings(rounds, calls, concurrency));
        out.println(report.table());
        out.println(report.json());
        return OK;
    }
}
