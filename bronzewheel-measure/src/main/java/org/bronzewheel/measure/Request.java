package org.bronzewheel.measure;

/**
 * A request of a caller.
 *
 * @param kind what it is
 * @param workspace the name of its workspace
 * @param arrivalNanos when its caller sent it
 * @param size its size relative to the mean
 * @param prefix the prompt's prefix, 0 for none
 */
record Request(Kind kind, String workspace, long arrivalNanos, double size, long prefix) {
    long deadlineNanos() {
        return arrivalNanos + kind.requestClass().deadlineMillis() * 1_000_000L;
    }
}
