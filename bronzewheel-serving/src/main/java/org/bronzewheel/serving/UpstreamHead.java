package org.bronzewheel.serving;

import java.util.List;
import org.bronzewheel.upstreams.NamedLimit;

/**
 * The head of an upstream's answer.
 *
 * @param status the HTTP status
 * @param headers the headers to pass on
 * @param signed whether the answer bears the upstream's signature
 * @param neverRan whether the upstream states that the request did not run
 * @param misdirected whether another upstream answers at the address
 * @param encoded whether the body is not the plain body of the upstream
 * @param limit what the answer says of the requests that the upstream takes
 */
public record UpstreamHead(
        int status,
        List<Header> headers,
        boolean signed,
        boolean neverRan,
        boolean misdirected,
        boolean encoded,
        NamedLimit limit) {
    boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
