package org.bronzewheel.serving;

import java.util.List;

/**
 * The head of an upstream's answer.
 *
 * @param status the HTTP status
 * @param headers the headers to pass on
 * @param signed whether the answer bears the upstream's signature
 * @param neverRan whether the upstream states that the request did not run
 * @param misdirected whether another upstream answers at the address
 * @param encoded whether the body is not the plain body of the upstream
 */
public record UpstreamHead(
        int status,
        List<Header> headers,
        boolean signed,
        boolean neverRan,
        boolean misdirected,
        boolean encoded) {
    boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
