package org.bronzewheel.logging;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** The set-up of logs as JSON lines on the standard error stream. */
public final class JsonLogs {
    private JsonLogs() {}

    /**
     * Replaces the handlers of the process by one that writes JSON lines.
     *
     * @param vmId named by each line
     * @param level the least level that is written
     */
    public static void install(String vmId, Level level) {
        LogManager.getLogManager().reset();
        Handler handler = new ConsoleHandler();
        handler.setLevel(level);
        handler.setFormatter(new JsonLogFormatter(vmId));
        Logger root = Logger.getLogger("");
        root.setLevel(level);
        root.addHandler(handler);
    }
}
