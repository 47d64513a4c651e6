package org.bronzewheel.upstream;

import org.bronzewheel.inventory.Upstream;

/** A receiver of upstreams' own word that they are leaving. */
@FunctionalInterface
public interface LeavingListener {
    /** Ignores the word. */
    LeavingListener NONE = upstream -> {};

    /**
     * Takes note that an upstream wants no new work.
     *
     * @param upstream the upstream
     */
    void leaving(Upstream upstream);
}
