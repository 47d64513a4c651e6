package org.bronzewheel.router;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterDescription;
import com.beust.jcommander.ParameterException;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;

/** The command line of the router process; what it lacks is taken from the environment. */
final class CommandLine {
    static final String PROGRAM = "bronzewheel-router";

    private static final String ENVIRONMENT_PREFIX = "BRONZEWHEEL_";
    private static final String HELP = "--help";

    private CommandLine() {}

    /**
     * Parses flags.
     *
     * @throws BronzewheelException with code INVALID_SETTING and one line that names the flag
     */
    static RouterFlags parse(String[] arguments, UnaryOperator<String> environment) {
        requireKnown(arguments);
        RouterFlags flags = new RouterFlags();
        JCommander commander = commander(flags);
        commander.setDefaultProvider(flag -> environment.apply(variable(flag)));
        try {
            commander.parse(arguments);
        } catch (ParameterException e) {
            throw new BronzewheelException(ErrorCode.INVALID_SETTING, firstLine(e.getMessage()));
        }
        return flags;
    }

    private static void requireKnown(String[] arguments) {
        Set<String> known =
                parameters().stream()
                        .map(ParameterDescription::getLongestName)
                        .collect(Collectors.toSet());
        for (String argument : arguments) {
            if (argument.startsWith("--") && !known.contains(argument)) {
                throw new BronzewheelException(
                        ErrorCode.INVALID_SETTING, "unknown flag " + argument + ", see " + HELP);
            }
        }
    }

    /** Returns the help: each flag with its unit, default and environment variable. */
    static String help() {
        StringBuilder text = new StringBuilder("Usage: " + PROGRAM + " [flags]\n\n");
        for (ParameterDescription parameter : parameters()) {
            String flag = parameter.getLongestName();
            text.append("  %-32s %s%n".formatted(flag, parameter.getDescription()));
            if (!flag.equals(HELP)) {
                String fallback = String.valueOf(parameter.getDefault());
                text.append(
                        "  %-32s default %s; environment %s%n"
                                .formatted(
                                        "",
                                        fallback.isEmpty() ? "none" : fallback,
                                        variable(flag)));
            }
        }
        return text.toString();
    }

    /** Returns the flags in the order of their names. */
    static List<ParameterDescription> parameters() {
        JCommander commander = commander(new RouterFlags());
        // Only parsing makes the descriptions.
        commander.parse();
        return commander.getParameters().stream()
                .sorted(Comparator.comparing(ParameterDescription::getLongestName))
                .toList();
    }

    static String variable(String flag) {
        return ENVIRONMENT_PREFIX
                + flag.replaceFirst("^--", "").replace('-', '_').toUpperCase(Locale.ROOT);
    }

    private static JCommander commander(RouterFlags flags) {
        return JCommander.newBuilder().programName(PROGRAM).addObject(flags).build();
    }

    private static String firstLine(String message) {
        return message.lines().findFirst().orElse("wrong flags");
    }
}
