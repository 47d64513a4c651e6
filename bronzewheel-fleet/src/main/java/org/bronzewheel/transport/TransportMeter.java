package org.bronzewheel.transport;

import java.util.concurrent.atomic.LongAdder;

/** Counts the traffic of a transport. */
final class TransportMeter {
    private final LongAdder framesSent = new LongAdder();
    private final LongAdder bytesSent = new LongAdder();
    private final LongAdder framesReceived = new LongAdder();
    private final LongAdder bytesReceived = new LongAdder();
    private final LongAdder framesDropped = new LongAdder();
    private final LongAdder repliesDropped = new LongAdder();
    private final LongAdder connectionsBroken = new LongAdder();

    void frameSent(int bytes) {
        framesSent.increment();
        bytesSent.add(bytes);
    }

    void frameReceived(int bytes) {
        framesReceived.increment();
        bytesReceived.add(bytes);
    }

    void frameDropped() {
        framesDropped.increment();
    }

    void replyDropped() {
        repliesDropped.increment();
    }

    void connectionBroken() {
        connectionsBroken.increment();
    }

    TransportCounters read() {
        return new TransportCounters(
                framesSent.sum(),
                bytesSent.sum(),
                framesReceived.sum(),
                bytesReceived.sum(),
                framesDropped.sum(),
                repliesDropped.sum(),
                connectionsBroken.sum());
    }
}
