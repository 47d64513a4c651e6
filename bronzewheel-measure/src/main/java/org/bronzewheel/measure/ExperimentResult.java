package org.bronzewheel.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;

/**
 * The result of an experiment.
 *
 * @param experiment its name
 * @param seed the seed of its randomness
 * @param rows one for each run
 * @param targets what was asked of the figures
 */
public record ExperimentResult(String experiment, long seed, List<Row> rows, List<Target> targets) {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    /**
     * Tells whether all targets are met.
     *
     * @return true where none is missed
     */
    public boolean allMet() {
        return targets.stream().allMatch(Target::met);
    }

    /**
     * Returns the result as JSON.
     *
     * @return the text
     */
    public String toJson() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new BronzewheelException(
                    ErrorCode.INTERNAL, Outcome.FAILED, "the result cannot be written", e);
        }
    }

    /**
     * Prints a table of the figures, then one line for each target.
     *
     * @param out where to print
     */
    public void print(PrintStream out) {
        out.printf(Locale.ROOT, "experiment %s, seed %d%n", experiment, seed);
        if (!rows.isEmpty()) {
            out.printf("%-9s%-20s%5s %-14s", "profile", "variant", "load", "fault");
            rows.get(0).figures().keySet().forEach(name -> out.printf("%11s", name));
            out.println();
        }
        for (Row row : rows) {
            out.printf(
                    Locale.ROOT,
                    "%-9s%-20s%5.1f %-14s",
                    row.profile(),
                    row.variant(),
                    row.load(),
                    row.fault());
            row.figures().values().forEach(v -> out.printf(Locale.ROOT, "%11.4f", v));
            out.println();
        }
        for (Target target : targets) {
            out.printf(
                    Locale.ROOT,
                    "target %s %.4f: %.4f %s%n",
                    target.name(),
                    target.bound(),
                    target.measured(),
                    target.met() ? "met" : "missed");
        }
    }
}
