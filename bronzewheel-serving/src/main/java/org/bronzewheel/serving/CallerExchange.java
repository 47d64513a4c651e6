package org.bronzewheel.serving;

import java.util.List;

/** The caller's side of one request. Called from the serving loop only. */
public interface CallerExchange {
    /**
     * Begins the answer of an upstream.
     *
     * @param status the HTTP status
     * @param headers the headers of the upstream
     * @param streaming whether the body follows piece by piece
     */
    void begin(int status, List<Header> headers, boolean streaming);

    /**
     * Passes on a part of the body.
     *
     * @param bytes the part
     */
    void write(byte[] bytes);

    /**
     * Returns what the caller has not read yet of a body that is passed on piece by piece.
     *
     * @return the number of bytes that wait in memory
     */
    long unsentBytes();

    /** Ends the answer as complete. */
    void finish();

    /** Breaks the answer off, so that it does not look complete. */
    void abort();

    /**
     * Answers for the system itself, before {@link #begin}.
     *
     * @param refusal the answer
     */
    void refuse(Refusal refusal);
}
