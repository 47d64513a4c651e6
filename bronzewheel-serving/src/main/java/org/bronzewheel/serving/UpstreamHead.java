package org.bronzewheel.serving;

import java.util.List;
import java.util.Locale;

/**
 * The head of an upstream's response.
 *
 * @param status the HTTP status
 * @param headers the headers to forward
 * @param signed whether the response carries the upstream's signature
 * @param neverRan whether the upstream states that the request did not run
 * @param misdirected whether a different upstream responds at the address
 * @param encoded whether the body is encoded rather than the plain body of the upstream
 * @param signature the upstream's signature as far as it is logged; empty if there is none
 * @param connection the connection on which the response arrived
 */
public record UpstreamHead(
        int status,
        List<Header> headers,
        boolean signed,
        boolean neverRan,
        boolean misdirected,
        boolean encoded,
        String signature,
        ConnectionUse connection) {
    private static final String CONTENT_TYPE = "Content-Type";

    /**
     * Creates the head of a response whose origin is not logged.
     *
     * @param status the HTTP status
     * @param headers the headers to forward
     * @param signed whether the response carries the upstream's signature
     * @param neverRan whether the upstream states that the request did not run
     * @param misdirected whether a different upstream responds at the address
     * @param encoded whether the body is encoded rather than the plain body of the upstream
     */
    public UpstreamHead(
            int status,
            List<Header> headers,
            boolean signed,
            boolean neverRan,
            boolean misdirected,
            boolean encoded) {
        this(status, headers, signed, neverRan, misdirected, encoded, "", ConnectionUse.none(""));
    }

    boolean isSuccess() {
        return status >= 200 && status < 300;
    }

    /** Returns the origin of the response for log lines. */
    String describeOrigin() {
        return connection + " signature=" + (signature.isEmpty() ? "none" : signature);
    }

    /** Returns the media type of the body without its parameters; empty if there is none. */
    String mediaType() {
        return headers.stream()
                .filter(header -> header.name().equalsIgnoreCase(CONTENT_TYPE))
                .findFirst()
                .map(header -> header.value().split(";", 2)[0].trim().toLowerCase(Locale.ROOT))
                .orElse("");
    }
}
