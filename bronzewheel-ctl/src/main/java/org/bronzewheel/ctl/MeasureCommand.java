package org.bronzewheel.ctl;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import org.bronzewheel.measure.ExperimentResult;
import org.bronzewheel.measure.Experiments;

/** The subcommand that runs an experiment from a seed. */
@Parameters(
        commandDescription =
                "Runs an experiment on virtual time; the same seed gives the same figures. Exit"
                        + " status 1 where a target is missed. Without a name, lists the"
                        + " experiments.")
final class MeasureCommand extends HelpFlag {
    @Parameter(description = "EXPERIMENT")
    private String experiment = "";

    @Parameter(names = "--seed", description = "The seed of all randomness.")
    private long seed = 1;

    @Parameter(names = "--json", description = "Prints JSON instead of a table.")
    private boolean json;

    @Override
    public int run(PrintStream out, PrintStream err) {
        if (experiment.isEmpty()) {
            Experiments.names().forEach(out::println);
            return OK;
        }
        ExperimentResult result = Experiments.run(experiment, seed);
        if (json) {
            out.println(result.toJson());
        } else {
            result.print(out);
        }
        return result.allMet() ? OK : FOUND_WRONG;
    }
}
