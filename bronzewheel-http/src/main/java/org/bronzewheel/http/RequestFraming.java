package org.bronzewheel.http;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;

/** Checks that a request has exactly one host, a path as its target and an unambiguous length. */
final class RequestFraming {
    private RequestFraming() {}

    /**
     * Checks the framing headers and the target of a request.
     *
     * @throws BronzewheelException where another HTTP implementation could parse the request
     *     differently
     */
    static void check(HttpServerRequest request) {
        MultiMap headers = request.headers();
        List<String> lengths = headers.getAll("Content-Length");
        List<String> codings = headers.getAll("Transfer-Encoding");
        boolean hasValidLength =
                lengths.isEmpty() || (lengths.size() == 1 && lengths.get(0).matches("[0-9]{1,18}"));
        boolean hasValidCoding =
                codings.isEmpty() || (codings.size() == 1 && codings.get(0).equals("chunked"));
        if (!hasValidLength || !hasValidCoding || (!lengths.isEmpty() && !codings.isEmpty())) {
            throw malformed("the length of the body is ambiguous");
        }
        if (headers.getAll("Host").size() != 1) {
            throw malformed("the request names no host or several");
        }
        if (!request.uri().startsWith("/")) {
            throw malformed("the target is no path");
        }
    }

    private static BronzewheelException malformed(String message) {
        return new BronzewheelException(ErrorCode.MALFORMED_REQUEST, message);
    }
}
