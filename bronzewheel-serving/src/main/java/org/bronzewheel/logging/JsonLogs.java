package org.bronzewheel.logging;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Configures logging as JSON lines on standard output. */
public final class JsonLogs {
    private JsonLogs() {}

    /**
     * Replaces all log handlers of the process with one that writes JSON lines.
     *
     * @param vmId the VM id that is added to each line
     * @param level the minimum level
     */
    public static void install(String vmId, Level level) {
        LogManager.getLogManager().reset();
        Handler handler = new QueuedLogHandler(new JsonLogFormatter(vmId), System.out);
        handler.setLevel(level);
        Logger root = Logger.getLogger("");
        root.setLevel(level);
        root.addHandler(handler);
    }

    /** Writes the queued records; to be called before the process exits. */
    public static void flush() {
        for (Handler handler : Logger.getLogger("").getHandlers()) {
            handler.flush();
        }
    }
}
