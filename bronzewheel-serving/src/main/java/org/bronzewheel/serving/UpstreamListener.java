package org.bronzewheel.serving;

/** The receiver of the answer to one send. Nothing follows an end or a failure. */
public interface UpstreamListener {
    /**
     * Takes the head of the answer.
     *
     * @param head the head
     */
    void onHead(UpstreamHead head);

    /**
     * Takes a part of the body.
     *
     * @param bytes the part
     */
    void onData(byte[] bytes);

    /** Takes the end of a whole answer. */
    void onEnd();

    /**
     * Takes the failure of the send.
     *
     * @param failure whether the request may have run
     * @param reason one sentence for the log
     */
    void onFailure(CallFailure failure, String reason);
}
