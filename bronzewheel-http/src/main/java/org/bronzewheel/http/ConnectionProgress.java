package org.bronzewheel.http;

import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/** The progress of the requests and responses of one connection. Used on its event loop only. */
final class ConnectionProgress {
    private long receivedRequests;
    private long writtenResponses;
    private long flushedResponses;
    private boolean receiving;

    /** Records a part of a request. */
    void received(Object message) {
        if (message instanceof HttpRequest) {
            receiving = true;
        }
        if (message instanceof LastHttpContent) {
            receiving = false;
            receivedRequests++;
        }
    }

    /**
     * Records a part of a response.
     *
     * @param written completes once the part has left this process
     */
    void written(Object message, ChannelPromise written) {
        if (message instanceof LastHttpContent && !isInterim(message)) {
            writtenResponses++;
            written.addListener(done -> flushedResponses++);
        }
    }

    private static boolean isInterim(Object message) {
        return message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && !response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
    }

    /** Returns whether a whole request waits for its response. */
    boolean isWaiting() {
        return waitingRequests() > 0;
    }

    /** Returns the number of whole requests without a complete response. */
    long waitingRequests() {
        return Math.max(0, receivedRequests - writtenResponses);
    }

    /** Returns the number of complete responses that were written. */
    long writtenResponses() {
        return writtenResponses;
    }

    /** Returns whether the head of a request was received, but not yet all of its body. */
    boolean isReceiving() {
        return receiving;
    }

    /** Returns whether a written response has not left this process yet. */
    boolean isSending() {
        return flushedResponses < writtenResponses;
    }

    /** Returns whether a request is being received or a response is being sent. */
    boolean isTransferring() {
        return receiving || isSending();
    }
}
