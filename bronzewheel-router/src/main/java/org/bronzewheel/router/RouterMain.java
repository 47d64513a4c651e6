package org.bronzewheel.router;

import com.google.common.flogger.FluentLogger;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.logging.JsonLogs;

/** The entry of the router process. */
public final class RouterMain {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private static final int WRONG_SETTING = 2;

    private RouterMain() {}

    /**
     * Runs a router until the process is told to stop.
     *
     * @param arguments the flags
     */
    public static void main(String[] arguments) {
        RouterSettings settings;
        try {
            RouterFlags flags = CommandLine.parse(arguments, System::getenv);
            if (flags.help) {
                System.out.print(CommandLine.help());
                return;
            }
            settings = flags.toSettings();
        } catch (BronzewheelException e) {
            exitOnWrongSetting(e);
            return;
        }
        JsonLogs.install(settings.vmId(), settings.logLevel());
        run(new Router(settings));
    }

    private static void run(Router router) {
        try {
            router.start();
        } catch (BronzewheelException e) {
            exitOnWrongSetting(e);
            return;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(router), "planned-stop"));
        logger.atInfo().log("router serves callers on port %d", router.httpPort());
    }

    /** Stops as planned; without the halt the process would report the signal as its status. */
    private static void stop(Router router) {
        router.stop();
        Runtime.getRuntime().halt(0);
    }

    private static void exitOnWrongSetting(BronzewheelException error) {
        System.err.println(CommandLine.PROGRAM + ": " + error.getMessage());
        System.exit(WRONG_SETTING);
    }
}
