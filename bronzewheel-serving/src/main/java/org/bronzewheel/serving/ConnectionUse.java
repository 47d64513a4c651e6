package org.bronzewheel.serving;

/**
 * One use of a connection to an upstream.
 *
 * @param upstreamId the id of the upstream to which the connection was opened
 * @param connection the number of the connection within this process; 0 if there is none
 * @param carriedBefore the number of requests that the connection carried before
 */
public record ConnectionUse(String upstreamId, long connection, long carriedBefore) {
    /**
     * Returns the use for a request that has no connection.
     *
     * @param upstreamId the id of the upstream
     * @return the use
     */
    public static ConnectionUse none(String upstreamId) {
        return new ConnectionUse(upstreamId, 0, 0);
    }

    /** Returns the fields as log lines name them. */
    @Override
    public String toString() {
        return "upstream="
                + upstreamId
                + " connection="
                + connection
                + " carriedBefore="
                + carriedBefore;
    }
}
