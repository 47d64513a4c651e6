package org.bronzewheel.serving;

/** A request in progress, as its caller's connection sees it. */
@FunctionalInterface
public interface RunningRequest {
    /** Ends all work of the request, as its caller has left. */
    void callerDisconnected();
}
