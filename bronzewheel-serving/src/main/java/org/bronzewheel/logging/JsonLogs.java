package org.bronzewheel.logging;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** The set-up of logs as JSON lines on the standard output. */
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
        Handler handler = new QueuedLogHandler(new JsonLogFormatter(vmId), System.out);
        handler.setLevel(level);
        Logger root = Logger.getLogger("");
        root.setLevel(level);
        root.addHandler(handler);
    }

    /** Writes what is queued, before the process ends. */
    public static void flush() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.flush();
        }
    }
}
