package org.bronzewheel.upstream;

/**
 * Limits of the clients of upstreams.
 *
 * @param connectTimeoutMillis the longest wait for a connection, in milliseconds
 * @param maxConnectionsPerUpstream connections to one address, at least 1
 * @param maxAnswerBytes the largest answer that is accepted, in bytes
 * @param maxResumes how often in a row a broken stream is resumed without a new token
 */
public record UpstreamSettings(
        int connectTimeoutMillis,
        int maxConnectionsPerUpstream,
        int maxAnswerBytes,
        int maxResumes) {
    /** Settings that suit most fleets. */
    public static final UpstreamSettings DEFAULT = new UpstreamSettings(1_000, 512, 4 << 20, 3);
}
