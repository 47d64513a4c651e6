package org.bronzewheel.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Passes on the next request of a connection once the response to the previous one was written and
 * the channel is writable. Vert.x handles pipelined requests without regard to whether their caller
 * reads the responses, which then collect in the outbound buffer.
 *
 * <p>Reading stops only when messages are held back, so that the end of a connection without
 * further requests is noticed while a response is being sent.
 */
final class PipelinedRequests extends ChannelDuplexHandler {
    /** Vert.x reads this many messages ahead as well. */
    private static final int MAX_AHEAD = 8;

    private final ConnectionProgress progress;
    private final Queue<Object> held = new ArrayDeque<>();
    private long passedRequests;
    private boolean readingStopped;
    private boolean passing;
    private boolean scheduled;

    PipelinedRequests(ConnectionProgress progress) {
        this.progress = progress;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (passing || !held.isEmpty() || !mayPass(context, message)) {
            held.add(message);
            stopReading(context);
            return;
        }
        pass(context, message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        super.channelReadComplete(context);
        schedule(context);
    }

    @Override
    public void read(ChannelHandlerContext context) throws Exception {
        if (mustStop(context)) {
            stopReading(context);
        } else {
            super.read(context);
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
            throws Exception {
        super.write(context, message, promise);
        schedule(context);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) throws Exception {
        super.channelWritabilityChanged(context);
        schedule(context);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        releaseHeld();
        super.channelInactive(context);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext context) {
        releaseHeld();
    }

    private void releaseHeld() {
        held.forEach(ReferenceCountUtil::release);
        held.clear();
    }

    private boolean mayPass(ChannelHandlerContext context, Object message) {
        return !(message instanceof HttpRequest)
                || (context.channel().isWritable()
                        && passedRequests <= progress.writtenResponses());
    }

    private void pass(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest) {
            passedRequests++;
        }
        context.fireChannelRead(message);
    }

    /** Passes on later, as Vert.x is still ending the response that is being written. */
    private void schedule(ChannelHandlerContext context) {
        if (!scheduled && !held.isEmpty() && mayPass(context, held.peek())) {
            scheduled = true;
            context.executor().execute(() -> passHeld(context));
        }
    }

    private void passHeld(ChannelHandlerContext context) {
        scheduled = false;
        if (passing || context.isRemoved()) {
            return;
        }
        passing = true;
        boolean passed = false;
        while (!held.isEmpty() && mayPass(context, held.peek())) {
            pass(context, held.remove());
            passed = true;
        }
        passing = false;
        if (passed) {
            context.fireChannelReadComplete();
        }
        if (readingStopped && !mustStop(context)) {
            readingStopped = false;
            context.channel().config().setAutoRead(true);
        }
        schedule(context);
    }

    private boolean mustStop(ChannelHandlerContext context) {
        return !held.isEmpty() && (!context.channel().isWritable() || held.size() >= MAX_AHEAD);
    }

    private void stopReading(ChannelHandlerContext context) {
        if (mustStop(context)) {
            readingStopped = true;
            context.channel().config().setAutoRead(false);
        }
    }
}
