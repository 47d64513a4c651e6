package org.bronzewheel.hedging;

import java.util.IdentityHashMap;
import org.bronzewheel.routing.OpenCall;

/**
 * The open calls that race with each other, with the extra cost that was withdrawn for them. Its
 * size is bounded by the open calls.
 */
public final class Races {
    private static final class Race {
        private double withdrawn;
    }

    private final IdentityHashMap<OpenCall, Race> races = new IdentityHashMap<>();

    /**
     * Books that a second call was sent while a first is open.
     *
     * @param first the first call
     * @param second the second call
     * @param cost what was withdrawn for the second, in worker nanoseconds
     */
    public void start(OpenCall first, OpenCall second, double cost) {
        Race race = races.computeIfAbsent(first, c -> new Race());
        race.withdrawn += cost;
        races.put(second, race);
    }

    /**
     * Books that a call ended by answer or failure.
     *
     * @param call the call
     */
    public void remove(OpenCall call) {
        races.remove(call);
    }

    /**
     * Books that a call was cancelled.
     *
     * @param call the call
     * @param spent what it had consumed, in worker nanoseconds
     * @return what was withdrawn for its race and not spent by it, 0 for a call without a race
     */
    public double lose(OpenCall call, double spent) {
        Race race = races.remove(call);
        if (race == null) {
            return 0;
        }
        double left = Math.max(0, race.withdrawn - spent);
        race.withdrawn = 0;
        return left;
    }
}
