package org.bronzewheel.load;

/** A message between routers about one fleet-wide limit; amounts are per second. */
sealed interface LimitMessage {
    /** Returns the name of the limit. */
    String limit();

    /** Returns the number of the request or loan request. */
    long round();

    /** Returns the amount. */
    double amountPerSecond();

    /** Requests from the owner of a limit what the sender needs in addition to its share. */
    record Request(String limit, long round, double amountPerSecond) implements LimitMessage {}

    /** Asks all routers to lend what they do not need of their shares. */
    record LoanRequest(String limit, long round) implements LimitMessage {
        @Override
        public double amountPerSecond() {
            return 0;
        }
    }

    /** Lends the owner a part of the sender's share for the duration of a loan. */
    record Loan(String limit, long round, double amountPerSecond) implements LimitMessage {}

    /** Grants borrowed amounts to a router for the duration of a grant. */
    record Grant(String limit, long round, double amountPerSecond) implements LimitMessage {}
}
