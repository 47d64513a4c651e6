package org.bronzewheel.load;

/** A message between routers about one limit of the whole fleet; amounts are per second. */
sealed interface LimitMessage {
    /** Returns the name of the limit. */
    String limit();

    /** Returns the number of the wish or call. */
    long round();

    /** Returns the amount. */
    double amountPerSecond();

    /** Tells the keeper of a limit what the sender needs on top of its share. */
    record Wish(String limit, long round, double amountPerSecond) implements LimitMessage {}

    /** Asks all routers what they can lend. */
    record Call(String limit, long round) implements LimitMessage {
        @Override
        public double amountPerSecond() {
            return 0;
        }
    }

    /** Lends the keeper a part of the sender's share for the time of a loan. */
    record Loan(String limit, long round, double amountPerSecond) implements LimitMessage {}

    /** Passes lent amounts on, for the time of a grant. */
    record Grant(String limit, long round, double amountPerSecond) implements LimitMessage {}
}
