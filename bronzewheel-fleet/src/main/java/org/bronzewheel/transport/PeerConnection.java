package org.bronzewheel.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.reactivex.rxjava3.core.SingleEmitter;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.wire.PeerFrame;

/**
 * The outbound connection to one peer, opened on first use and reopened after a failure.
 *
 * <p>All fields except the atomic and volatile ones are confined to one event loop.
 */
final class PeerConnection {
    private static final int FRAME_OVERHEAD_BYTES = 64;
    private static final int MAX_BACKOFF_DOUBLINGS = 16;
    private static final long ADDRESS_CHECK_MILLIS = 1_000;

    private enum State {
        IDLE,
        CONNECTING,
        CONNECTED,
        STOPPED
    }

    private record OutboundFrame(PeerFrame frame, PendingCall call, int reservedBytes) {}

    private final Peer self;
    private final String vmId;
    private final EventLoop loop;
    private final PeerDirectory directory;
    private final TransportSettings settings;
    private final FrameDispatcher dispatcher;
    private final TransportMeter meter;
    private final AtomicLong queuedBytes = new AtomicLong();
    private volatile long backoffUntilNanos = System.nanoTime();
    private final Queue<OutboundFrame> queue = new ArrayDeque<>();
    private final Map<Long, PendingCall> calls = new HashMap<>();
    private State state = State.IDLE;
    private io.netty.channel.Channel channel;
    private OutboundHandler handler;
    private InetSocketAddress address;
    private long addressCheckedNanos;
    private int failures;

    PeerConnection(
            Peer self,
            String vmId,
            EventLoop loop,
            PeerDirectory directory,
            TransportSettings settings,
            FrameDispatcher dispatcher,
            TransportMeter meter) {
        this.self = self;
        this.vmId = vmId;
        this.loop = loop;
        this.directory = directory;
        this.settings = settings;
        this.dispatcher = dispatcher;
        this.meter = meter;
    }

    boolean send(PeerFrame frame) {
        int reservedBytes = frame.getSerializedSize() + FRAME_OVERHEAD_BYTES;
        if (isBackingOff() || !reserve(reservedBytes)) {
            meter.frameDropped();
            return false;
        }
        return execute(() -> enqueue(new OutboundFrame(frame, null, reservedBytes)));
    }

    void call(PeerFrame frame, long timeoutMillis, SingleEmitter<byte[]> emitter) {
        PendingCall call = new PendingCall(frame.getCallId(), emitter);
        int reservedBytes = frame.getSerializedSize() + FRAME_OVERHEAD_BYTES;
        if (isBackingOff()) {
            call.fail(ErrorCode.PEER_UNREACHABLE, vmId + " could not be reached");
        } else if (!reserve(reservedBytes)) {
            call.fail(ErrorCode.OVERLOADED, "the queue to " + vmId + " is full");
        } else if (!execute(
                () -> enqueueCall(new OutboundFrame(frame, call, reservedBytes), timeoutMillis))) {
            call.fail(ErrorCode.PEER_UNREACHABLE, "this router is stopping");
        }
    }

    void receiveReply(PeerFrame frame) {
        PendingCall call = calls.remove(frame.getCallId());
        if (call == null) {
            meter.replyDropped();
            return;
        }
        call.complete(frame);
    }

    boolean isUnused() {
        return calls.isEmpty() && queue.isEmpty();
    }

    void disconnected(io.netty.channel.Channel closed) {
        if (closed != channel) {
            return;
        }
        channel = null;
        backOff(settings.minBackoffMillis());
        if (state != State.STOPPED) {
            state = State.IDLE;
        }
        failAll("the connection to " + vmId + " was closed");
    }

    void stop() {
        execute(this::shutDown);
    }

    private void shutDown() {
        state = State.STOPPED;
        if (channel != null) {
            NettyChannels.close(channel);
        }
        failAll("this router is stopping");
    }

    private boolean execute(Runnable task) {
        try {
            loop.execute(task);
            return true;
        } catch (RejectedExecutionException e) {
            // The transport was stopped concurrently.
            return false;
        }
    }

    private boolean isBackingOff() {
        return System.nanoTime() - backoffUntilNanos < 0;
    }

    private boolean reserve(int reservedBytes) {
        if (queuedBytes.addAndGet(reservedBytes) > settings.outboundQueueBytes()) {
            queuedBytes.addAndGet(-reservedBytes);
            return false;
        }
        return true;
    }

    private void enqueueCall(OutboundFrame outbound, long timeoutMillis) {
        PendingCall call = outbound.call();
        calls.put(call.id(), call);
        call.setTimeout(loop.schedule(() -> timeOut(call), timeoutMillis, TimeUnit.MILLISECONDS));
        enqueue(outbound);
    }

    private void timeOut(PendingCall call) {
        if (calls.remove(call.id()) != null) {
            call.fail(ErrorCode.DEADLINE_EXCEEDED, vmId + " did not reply in time");
        }
    }

    private void enqueue(OutboundFrame outbound) {
        if (state == State.STOPPED) {
            drop(outbound, "this router is stopping");
            return;
        }
        if (state == State.CONNECTED) {
            checkAddress();
        }
        if (state == State.CONNECTED) {
            write(outbound);
            return;
        }
        queue.add(outbound);
        if (state == State.IDLE) {
            connect();
        }
    }

    /** Drops the connection if the address of the peer has changed. */
    private void checkAddress() {
        long now = System.nanoTime();
        if (now - addressCheckedNanos < TimeUnit.MILLISECONDS.toNanos(ADDRESS_CHECK_MILLIS)) {
            return;
        }
        addressCheckedNanos = now;
        Optional<InetSocketAddress> current = directory.find(vmId);
        if (current.isPresent() && !current.get().equals(address)) {
            io.netty.channel.Channel old = channel;
            channel = null;
            state = State.IDLE;
            failAll("the address of " + vmId + " changed");
            NettyChannels.close(old);
        }
    }

    private void write(OutboundFrame outbound) {
        if (outbound.call() != null) {
            if (!calls.containsKey(outbound.call().id())) {
                // The call has already failed with the outcome NOT_RUN.
                queuedBytes.addAndGet(-outbound.reservedBytes());
                return;
            }
            outbound.call().markWritten();
        }
        handler.frameWritten();
        NettyChannels.write(
                channel, outbound.frame(), () -> queuedBytes.addAndGet(-outbound.reservedBytes()));
    }

    private void connect() {
        Optional<InetSocketAddress> found = directory.find(vmId);
        if (found.isEmpty()) {
            failAll(vmId + " is not listed");
            return;
        }
        state = State.CONNECTING;
        address = found.get();
        addressCheckedNanos = System.nanoTime();
        OutboundHandler newHandler = new OutboundHandler(self, dispatcher, meter, this);
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeoutMillis())
                .handler(initializer(newHandler))
                .connect(address)
                .addListener((ChannelFuture done) -> connected(done, newHandler));
    }

    private ChannelInitializer<SocketChannel> initializer(OutboundHandler newHandler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel socket) {
                socket.pipeline()
                        .addLast(
                                new IdleStateHandler(
                                        settings.silenceMillis(),
                                        settings.idleMillis(),
                                        0,
                                        TimeUnit.MILLISECONDS),
                                new FrameEncoder(meter),
                                new FrameDecoder(settings.maxFrameBytes(), meter),
                                newHandler);
            }
        };
    }

    private void connected(ChannelFuture done, OutboundHandler newHandler) {
        if (state == State.STOPPED) {
            NettyChannels.close(done.channel());
            return;
        }
        if (!done.isSuccess()) {
            state = State.IDLE;
            failures = Math.min(failures + 1, MAX_BACKOFF_DOUBLINGS);
            long backoffMillis = settings.minBackoffMillis() << (failures - 1);
            backOff(Math.min(backoffMillis, settings.maxBackoffMillis()));
            failAll(vmId + " could not be reached");
            return;
        }
        failures = 0;
        state = State.CONNECTED;
        channel = done.channel();
        handler = newHandler;
        while (!queue.isEmpty() && channel != null) {
            write(queue.remove());
        }
    }

    /** Blocks connection attempts for 50 to 100 percent of the given time. */
    private void backOff(long millis) {
        long nanos = TimeUnit.MILLISECONDS.toNanos(millis);
        long jittered = nanos - ThreadLocalRandom.current().nextLong(nanos / 2 + 1);
        backoffUntilNanos = System.nanoTime() + jittered;
    }

    private void failAll(String reason) {
        while (!queue.isEmpty()) {
            drop(queue.remove(), reason);
        }
        List<PendingCall> unfinished = new ArrayList<>(calls.values());
        calls.clear();
        unfinished.forEach(call -> call.fail(ErrorCode.PEER_UNREACHABLE, reason));
    }

    private void drop(OutboundFrame outbound, String reason) {
        queuedBytes.addAndGet(-outbound.reservedBytes());
        if (outbound.call() == null) {
            meter.frameDropped();
        } else if (calls.remove(outbound.call().id()) != null) {
            outbound.call().fail(ErrorCode.PEER_UNREACHABLE, reason);
        }
    }
}
