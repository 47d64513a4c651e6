package org.bronzewheel.service;

/** A part of a process that owns resources between its start and its stop. */
public interface Service {
    /**
     * Acquires the resources and begins work; returns once the service is usable.
     *
     * @throws org.bronzewheel.error.BronzewheelException where a resource cannot be had
     */
    void start();

    /** Ends the work and releases the resources; a second call does nothing. */
    void stop();
}
