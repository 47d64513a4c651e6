package org.bronzewheel.transport;

/**
 * Traffic counters of a transport since its start.
 *
 * @param framesSent frames written to peers
 * @param bytesSent bytes written to peers, including the length prefixes
 * @param framesReceived frames read from peers
 * @param bytesReceived bytes read from peers, including the length prefixes
 * @param framesDropped one-way messages that were not written
 * @param repliesDropped replies without a pending call, because they were late or duplicated
 * @param connectionsBroken connections closed because of an error of the peer or the network
 */
public record TransportCounters(
        long framesSent,
        long bytesSent,
        long framesReceived,
        long bytesReceived,
        long framesDropped,
        long repliesDropped,
        long connectionsBroken) {}
