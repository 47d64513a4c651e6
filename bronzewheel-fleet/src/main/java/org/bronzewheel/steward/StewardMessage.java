package org.bronzewheel.steward;

/** A message between routers about the steward lease of a pool. */
sealed interface StewardMessage {
    /** Returns the pool. */
    String pool();

    /** Returns the number of the request. */
    long round();

    /** Requests the lease or its renewal, with the revisions that the sender uses. */
    record Request(String pool, long round, long listRevision, long configurationRevision)
            implements StewardMessage {}

    /** The response to a request. */
    record Reply(String pool, long round, boolean granted) implements StewardMessage {}

    /** The holder has released the lease and sends no more orders. */
    record Release(String pool, long round) implements StewardMessage {}
}
