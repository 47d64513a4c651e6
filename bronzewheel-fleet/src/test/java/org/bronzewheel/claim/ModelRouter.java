package org.bronzewheel.claim;

import org.bronzewheel.transport.Peer;

/** A simulated router: its claim machine, its clock skew and whether it is running. */
final class ModelRouter {
    private final ClaimMachine machine;
    private final Peer peer;
    private final long skewMillis;
    private final boolean up;
    private final boolean paused;
    private String text;

    ModelRouter(ClaimMachine machine, Peer peer, long skewMillis, boolean up, boolean paused) {
        this.machine = machine;
        this.peer = peer;
        this.skewMillis = skewMillis;
        this.up = up;
        this.paused = paused;
    }

    ModelRouter copy() {
        return new ModelRouter(machine.copy(), peer, skewMillis, up, paused);
    }

    ModelRouter withUp(boolean newUp) {
        return new ModelRouter(machine, peer, skewMillis, newUp, paused);
    }

    ModelRouter withPaused(boolean newPaused) {
        return new ModelRouter(machine, peer, skewMillis, up, newPaused);
    }

    ClaimMachine machine() {
        return machine;
    }

    Peer peer() {
        return peer;
    }

    long skewMillis() {
        return skewMillis;
    }

    boolean isRunning() {
        return up && !paused;
    }

    /** Returns the state as text, cached; the machine must not change afterwards. */
    @Override
    public String toString() {
        if (text == null) {
            text = machine + (up ? "u" : "d") + (paused ? "p" : "r");
        }
        return text;
    }
}
