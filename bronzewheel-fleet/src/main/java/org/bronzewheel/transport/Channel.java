package org.bronzewheel.transport;

/** A type of traffic between routers; each has its own codec. */
public enum Channel {
    /** Claims of idempotency keys and the transfer of claims on shutdown. */
    CLAIM(1),
    /** Replicas of stored answers. */
    ANSWER(2),
    /** Heartbeats and membership digests. */
    MEMBERSHIP(3),
    /** Configuration documents. */
    CONFIGURATION(4),
    /** Rights of stewards. */
    STEWARD(5),
    /** Digests of upstream load and of used limits. */
    LOAD(6),
    /** Requests forwarded to the router that executes them. */
    REQUEST(7),
    /** Stage work forwarded to the router that owns the upstreams of a service. */
    STAGE(8),
    /** State published by the platform, relayed by the routers that read it. */
    PUBLISHED(9),
    /** Catalogs, for routers that act on an older one than a peer. */
    CATALOG(10),
    /** Evidence about prompt parts that crash model engines. */
    EVIDENCE(11);

    private final int number;

    Channel(int number) {
        this.number = number;
    }

    /**
     * Returns the channel number in the protocol.
     *
     * @return the number, from 1
     */
    public int number() {
        return number;
    }
}
