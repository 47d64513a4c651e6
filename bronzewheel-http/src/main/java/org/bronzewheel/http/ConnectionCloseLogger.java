package org.bronzewheel.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;

/** Logs each close by this process that leaves whole requests of a connection unanswered. */
final class ConnectionCloseLogger extends ChannelOutboundHandlerAdapter {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final ConnectionProgress progress;

    ConnectionCloseLogger(ConnectionProgress progress) {
        this.progress = progress;
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) throws Exception {
        if (context.channel().isActive() && progress.isWaiting()) {
            logger.atInfo().log(
                    "closing a connection with unanswered requests: caller=%s requests=%d",
                    context.channel().remoteAddress(), progress.waitingRequests());
        }
        super.close(context, promise);
    }
}
