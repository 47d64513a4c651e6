package org.bronzewheel.serving;

/**
 * The memory that the bodies of requests in progress occupy in this router, with a limit for all of
 * them. Each body has a limit of its own, but a burst of large ones would use up the memory of the
 * process.
 */
public final class BodyMemory {
    private static final long RETRY_MILLIS = 500;

    private final long limitBytes;
    private long occupiedBytes;

    /**
     * Creates an empty record.
     *
     * @param limitBytes the memory that all bodies may occupy, in bytes
     */
    public BodyMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Reserves memory for a body or a part of one.
     *
     * @param bytes its size, in bytes
     * @return whether there is room for it; if not, nothing is reserved
     */
    public boolean reserve(long bytes) {
        if (occupiedBytes + bytes > limitBytes) {
            return false;
        }
        occupiedBytes += bytes;
        return true;
    }

    /**
     * Releases memory.
     *
     * @param bytes how much was reserved, in bytes
     */
    public void release(long bytes) {
        occupiedBytes -= bytes;
    }

    /**
     * Returns the answer to a request for whose body there is no room.
     *
     * @return the refusal; the request did not run
     */
    public Refusal refusal() {
        return Refusal.notRun("no memory for the body", RETRY_MILLIS);
    }
}
