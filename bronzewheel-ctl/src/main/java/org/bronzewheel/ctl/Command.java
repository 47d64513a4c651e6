package org.bronzewheel.ctl;

import java.io.PrintStream;

/** A subcommand; its fields are its flags. */
interface Command {
    /** Everything is well. */
    int OK = 0;

    /** The command ran and found something wrong. */
    int FOUND_WRONG = 1;

    /** A flag or an argument is wrong. */
    int WRONG_USAGE = 2;

    /**
     * Runs the command.
     *
     * @param out receives results
     * @param err receives progress and complaints
     * @return the exit status
     */
    int run(PrintStream out, PrintStream err);

    /**
     * Tells whether the flags ask for help only.
     *
     * @return true after {@code --help}
     */
    boolean isHelpWanted();
}
