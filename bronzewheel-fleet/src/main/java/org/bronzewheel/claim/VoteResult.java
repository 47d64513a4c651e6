package org.bronzewheel.claim;

import java.util.Arrays;
import java.util.Optional;

/** The result of a vote request. */
public enum VoteResult {
    /** The seat voted for the holder that the reply names. */
    HELD(1),
    /** The key may have been used before the seat began to remember votes. */
    NOT_REMEMBERED(2),
    /** The key is older than the retention. */
    EXPIRED(3),
    /** The seat cannot vote now: its table is full or it was handed over. */
    ABSTAINED(4);

    private final int number;

    VoteResult(int number) {
        this.number = number;
    }

    /** Returns the number on the wire, from 1. */
    int number() {
        return number;
    }

    static Optional<VoteResult> ofNumber(int number) {
        return Arrays.stream(values()).filter(result -> result.number == number).findFirst();
    }
}
