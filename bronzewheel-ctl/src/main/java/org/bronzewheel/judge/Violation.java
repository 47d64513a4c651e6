package org.bronzewheel.judge;

/**
 * A broken promise to the callers of one request.
 *
 * @param finding what was broken
 * @param nonce the nonce of the request
 * @param detail one sentence for the reader
 */
public record Violation(Finding finding, String nonce, String detail) {
    @Override
    public String toString() {
        return "%s %s: %s".formatted(finding, nonce, detail);
    }
}
