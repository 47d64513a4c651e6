package org.bronzewheel.ctl;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;

/** The entry point of {@code bronzewheelctl}. */
public final class Main {
    private static final String PROGRAM = "bronzewheelctl";

    private final Map<String, Command> commands = new LinkedHashMap<>();

    @Parameter(
            names = {"--help", "-h"},
            help = true,
            description = "Prints this help.")
    private boolean helpWanted;

    private Main() {
        commands.put("check", new CheckCommand());
        commands.put("explain", new ExplainCommand());
        commands.put("status", new StatusCommand());
        commands.put("demo", new DemoCommand());
        commands.put("load", new LoadCommand());
        commands.put("measure", new MeasureCommand());
        commands.put("standin", new StandInCommand());
        commands.put("overhead", new OverheadCommand());
    }

    /**
     * Runs a subcommand and ends the process with its exit status.
     *
     * @param args the subcommand with its flags
     */
    public static void main(String[] args) {
        int status = run(args, System.out, System.err);
        System.out.flush();
        System.exit(status);
    }

    /**
     * Runs a subcommand.
     *
     * @param args the subcommand with its flags
     * @param out receives results
     * @param err receives progress and complaints
     * @return the exit status: 0 well, 1 something wrong was found, 2 wrong usage
     */
    static int run(String[] args, PrintStream out, PrintStream err) {
        return new Main().runCommand(args, out, err);
    }

    private int runCommand(String[] args, PrintStream out, PrintStream err) {
        JCommander parser = parser();
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            return complain(oneLine(e.getMessage()), err);
        }
        String name = parser.getParsedCommand();
        if (helpWanted || name == null) {
            printUsage(parser, helpWanted ? out : err);
            return helpWanted ? Command.OK : Command.WRONG_USAGE;
        }
        Command command = commands.get(name);
        if (command.isHelpWanted()) {
            printUsage(parser.getCommands().get(name), out);
            return Command.OK;
        }
        return run(command, out, err);
    }

    private static int run(Command command, PrintStream out, PrintStream err) {
        try {
            return command.run(out, err);
        } catch (BronzewheelException e) {
            if (e.code() == ErrorCode.INVALID_SETTING) {
                return complain(e.getMessage(), err);
            }
            err.println(PROGRAM + ": " + oneLine(e.getMessage()));
            return Command.FOUND_WRONG;
        }
    }

    private JCommander parser() {
        JCommander parser = JCommander.newBuilder().addObject(this).programName(PROGRAM).build();
        commands.forEach(parser::addCommand);
        return parser;
    }

    private static void printUsage(JCommander parser, PrintStream out) {
        StringBuilder usage = new StringBuilder();
        parser.getUsageFormatter().usage(usage);
        out.print(usage);
    }

    private static int complain(String message, PrintStream err) {
        err.println(PROGRAM + ": " + message + " (see --help)");
        return Command.WRONG_USAGE;
    }

    private static String oneLine(String message) {
        return message == null ? "unknown error" : message.replaceAll("\\s*\\R\\s*", " ");
    }
}
