package org.bronzewheel.standin;

import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.request.Usage;

/** A record of each run at the upstream stand-ins that share it, in order of their starts. */
public final class Ledger {
    private final List<Run> runs = new ArrayList<>();

    /** Creates an empty ledger. */
    public Ledger() {}

    /**
     * Returns the runs so far.
     *
     * @return a copy, in order of their starts
     */
    public synchronized List<Run> runs() {
        return List.copyOf(runs);
    }

    /**
     * Returns the runs from a position on.
     *
     * @param after how many runs to leave out, at least 0
     * @return a copy, in order of their starts
     */
    public synchronized List<Run> runs(int after) {
        return List.copyOf(runs.subList(Math.min(after, runs.size()), runs.size()));
    }

    synchronized int start(Run run) {
        runs.add(run);
        return runs.size() - 1;
    }

    synchronized void end(int position, RunState state, Usage usage) {
        Run run = runs.get(position);
        if (run.state() == RunState.RUNNING) {
            runs.set(position, run.ended(System.currentTimeMillis(), state, usage));
        }
    }
}
