package org.bronzewheel.serving;

import java.util.List;

/** The caller's side of one request. Called only on the serving loop. */
public interface CallerExchange {
    /**
     * Starts the response with the head of an upstream's response.
     *
     * @param status the HTTP status
     * @param headers the headers of the upstream
     * @param streaming whether the body is streamed
     */
    void begin(int status, List<Header> headers, boolean streaming);

    /**
     * Forwards a part of the body.
     *
     * @param bytes the part
     */
    void write(byte[] bytes);

    /**
     * Returns how much of a streamed body the caller has not read yet.
     *
     * @return the number of bytes buffered in memory
     */
    long unsentBytes();

    /** Completes the response. */
    void finish();

    /** Aborts the response so that the caller cannot take it for complete. */
    void abort();

    /**
     * Sends a response of the router's own instead of an upstream's, before {@link #begin}.
     *
     * @param refusal the response
     */
    void refuse(Refusal refusal);
}
