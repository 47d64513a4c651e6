package org.bronzewheel.transport;

/** A kind of traffic between routers, each with its own codec. */
public enum Channel {
    /** Claims of idempotency keys and their hand-over. */
    CLAIM(1),
    /** Copies of answers. */
    ANSWER(2),
    /** Heartbeats and membership digests. */
    MEMBERSHIP(3),
    /** Configuration documents. */
    CONFIGURATION(4),
    /** Rights of stewards. */
    STEWARD(5),
    /** Digests of upstream load and of spent limits. */
    LOAD(6),
    /** Requests forwarded to the router that holds them. */
    REQUEST(7),
    /** Stage work that is handed to the owner of a service's upstreams. */
    STAGE(8),
    /** What the platform publishes, passed on by the routers that read it. */
    PUBLISHED(9);

    private final int number;

    Channel(int number) {
        this.number = number;
    }

    /**
     * Returns the number on the wire.
     *
     * @return the number, from 1
     */
    public int number() {
        return number;
    }
}
