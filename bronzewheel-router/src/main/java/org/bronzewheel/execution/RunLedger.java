package org.bronzewheel.execution;

import org.bronzewheel.request.Outcome;

/** A record of what of a request has run, from which its outcome follows. */
final class RunLedger {
    private boolean stageAnswered;
    private int open;
    private boolean failed;
    private boolean unknown;
    private boolean decided;

    /**
     * Notes that an attempt may leave this process from now on; false once the outcome is decided,
     * so that nothing runs of a request whose caller is told that it did not run.
     */
    synchronized boolean trySend() {
        if (decided) {
            return false;
        }
        open++;
        return true;
    }

    /** A sent attempt ended. */
    synchronized void ended(Outcome outcome) {
        open = Math.max(0, open - 1);
        failed |= outcome == Outcome.FAILED;
        unknown |= outcome == Outcome.UNKNOWN;
    }

    /** A stage has its answer, whatever became of its other attempts. */
    synchronized void stageAnswered() {
        stageAnswered = true;
        open = 0;
        unknown = false;
        failed = false;
    }

    /** Decides the outcome of the request, which ends now without its answer. */
    synchronized Outcome outcomeWithoutAnswer() {
        decided = true;
        if (open > 0 || unknown) {
            return Outcome.UNKNOWN;
        }
        return stageAnswered || failed ? Outcome.FAILED : Outcome.NOT_RUN;
    }
}
