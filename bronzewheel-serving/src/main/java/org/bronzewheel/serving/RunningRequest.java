package org.bronzewheel.serving;

/** A request in progress, for use by its caller's connection. */
@FunctionalInterface
public interface RunningRequest {
    /** Cancels all work of the request after its caller has disconnected. */
    void callerDisconnected();
}
