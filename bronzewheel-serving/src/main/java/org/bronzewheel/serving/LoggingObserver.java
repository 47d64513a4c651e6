package org.bronzewheel.serving;

import com.google.common.flogger.FluentLogger;

/** An observer that writes a line for each decision. */
public final class LoggingObserver implements RequestObserver {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    @Override
    public void decided(String requestId, Decision decision, String detail) {
        if (decision == Decision.SENT) {
            logger.atFine().log("%s request=%s %s", decision, requestId, detail);
        } else {
            logger.atInfo().log("%s request=%s %s", decision, requestId, detail);
        }
    }

    @Override
    public void ended(String requestId, String route, String outcome, long elapsedMillis) {
        logger.atInfo().log(
                "ENDED request=%s route=%s outcome=%s millis=%d",
                requestId, route, outcome, elapsedMillis);
    }
}
