package org.bronzewheel.serving;

/** Receives the response to one attempt. No call follows {@link #onEnd} or {@link #onFailure}. */
public interface UpstreamListener {
    /**
     * Called when the request is written to a connection.
     *
     * @param use the use of the connection
     */
    default void onConnected(ConnectionUse use) {}

    /** Called whenever a part of a long request was written. */
    default void onRequestProgress() {}

    /**
     * Called with the head of the response.
     *
     * @param head the head
     */
    void onHead(UpstreamHead head);

    /**
     * Called before {@link #onFailure} if the connection ended before the response did, as it does
     * when the process of the upstream ends.
     */
    default void onDisconnected() {}

    /**
     * Called with a part of the body.
     *
     * @param bytes the part
     */
    void onData(byte[] bytes);

    /**
     * Called before {@link #onEnd} if the response has neither a length nor chunks and ended with
     * its connection, which also ends with the process of the upstream.
     */
    default void onEndedByClose() {}

    /** Called at the end of a complete response. */
    void onEnd();

    /**
     * Called when the attempt failed.
     *
     * @param failure whether the request may have run
     * @param reason one sentence for the log
     */
    void onFailure(CallFailure failure, String reason);
}
