package org.bronzewheel.ctl;

import com.beust.jcommander.Parameter;

/** The flag that each subcommand has. */
abstract class HelpFlag implements Command {
    @Parameter(
            names = {"--help", "-h"},
            help = true,
            description = "Prints this help.")
    private boolean helpWanted;

    @Override
    public boolean isHelpWanted() {
        return helpWanted;
    }
}
