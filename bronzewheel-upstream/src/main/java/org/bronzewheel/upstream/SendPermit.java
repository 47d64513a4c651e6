package org.bronzewheel.upstream;

/** A last check before the bytes of an attempt leave this process. */
@FunctionalInterface
public interface SendPermit {
    /**
     * Checks by the monotonic clock that the attempt may still be sent.
     *
     * @return the time left until the deadline of the request, in milliseconds, at least 1
     * @throws org.bronzewheel.error.BronzewheelException with outcome NOT_RUN where the attempt
     *     must not be sent
     */
    long remainingMillis();
}
