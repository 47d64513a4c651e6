package org.bronzewheel.steward;

/** A message between routers about the lease of a pool's steward. */
sealed interface StewardMessage {
    /** Returns the pool. */
    String pool();

    /** Returns the number of the request. */
    long round();

    /** Asks for the lease or its renewal, under the revisions that the sender uses. */
    record Request(String pool, long round, long listRevision, long configurationRevision)
            implements StewardMessage {}

    /** The response to a request. */
    record Reply(String pool, long round, boolean granted) implements StewardMessage {}

    /** The holder has given the lease up and sends no more orders. */
    record Release(String pool, long round) implements StewardMessage {}
}
