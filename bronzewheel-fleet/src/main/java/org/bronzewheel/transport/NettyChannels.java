package org.bronzewheel.transport;

import io.netty.channel.Channel;
import org.bronzewheel.wire.PeerFrame;

/**
 * Channel operations whose futures may be ignored: a failed write closes the channel, which
 * notifies its handler.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class NettyChannels {
    private NettyChannels() {}

    static void write(Channel channel, PeerFrame frame) {
        write(channel, frame, () -> {});
    }

    static void write(Channel channel, PeerFrame frame, Runnable done) {
        channel.writeAndFlush(frame)
                .addListener(
                        written -> {
                            done.run();
                            if (!written.isSuccess()) {
                                channel.close();
                            }
                        });
    }

    /**
     * Closes a connection.
     *
     * @param channel the connection
     */
    public static void close(Channel channel) {
        channel.close();
    }
}
