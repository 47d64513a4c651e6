package org.bronzewheel.service;

/** A component of a process that holds resources from its start until it is stopped. */
public interface Service {
    /**
     * Acquires the resources and starts the service; returns once the service is usable.
     *
     * @throws org.bronzewheel.error.BronzewheelException if a resource cannot be acquired
     */
    void start();

    /** Stops the service and releases the resources; further calls have no effect. */
    void stop();
}
