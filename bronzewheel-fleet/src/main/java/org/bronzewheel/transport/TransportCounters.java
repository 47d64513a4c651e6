package org.bronzewheel.transport;

/**
 * What a transport has carried since its start.
 *
 * @param framesSent frames written to peers
 * @param bytesSent bytes written to peers, with the length of each frame
 * @param framesReceived frames read from peers
 * @param bytesReceived bytes read from peers, with the length of each frame
 * @param framesDropped one-way messages that were not written
 * @param repliesDropped replies that no call waited for, because they were late or doubled
 * @param connectionsBroken connections that were closed for an error of the peer or of the network
 */
public record TransportCounters(
        long framesSent,
        long bytesSent,
        long framesReceived,
        long bytesReceived,
        long framesDropped,
        long repliesDropped,
        long connectionsBroken) {}
