package org.bronzewheel.transport;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.wire.PeerFrame;

/**
 * A transport over TCP with one server port and one outbound connection per peer.
 *
 * <p>One-way messages to a peer that has no directory entry are sent on the connection that the
 * peer has opened, if there is one.
 */
public final class NettyPeerTransport implements PeerTransport {
    private static final long STOP_TIMEOUT_MILLIS = 2_000;
    private static final int INBOUND_IDLE_FACTOR = 3;

    private final Peer self;
    private final InetSocketAddress bindAddress;
    private final PeerDirectory directory;
    private final TransportSettings settings;
    private final FrameDispatcher dispatcher = new FrameDispatcher();
    private final TransportMeter meter = new TransportMeter();
    private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();
    private final Map<String, io.netty.channel.Channel> inbound = new ConcurrentHashMap<>();
    private final AtomicLong nextCallId = new AtomicLong(1);
    private volatile EventLoopGroup group;
    private volatile io.netty.channel.Channel server;

    /**
     * Creates a transport that is not started.
     *
     * @param self the VM and incarnation of this router
     * @param bindAddress the address to listen on; port 0 selects a free port
     * @param directory resolves the addresses of peers
     * @param settings the limits
     */
    public NettyPeerTransport(
            Peer self,
            InetSocketAddress bindAddress,
            PeerDirectory directory,
            TransportSettings settings) {
        this.self = self;
        this.bindAddress = bindAddress;
        this.directory = directory;
        this.settings = settings;
    }

    @Override
    public Peer self() {
        return self;
    }

    @Override
    public void start() {
        group =
                new MultiThreadIoEventLoopGroup(
                        settings.ioThreads(),
                        new DefaultThreadFactory("peer-" + self.vmId(), true),
                        NioIoHandler.newFactory());
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(initializer())
                        .bind(bindAddress)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            stop();
            throw new BronzewheelException(
                    ErrorCode.INVALID_SETTING,
                    Outcome.NOT_RUN,
                    "cannot bind " + bindAddress,
                    bound.cause());
        }
        server = bound.channel();
    }

    @Override
    public void stop() {
        EventLoopGroup eventLoops = group;
        if (eventLoops == null) {
            return;
        }
        group = null;
        if (server != null) {
            NettyChannels.close(server);
        }
        connections.values().forEach(PeerConnection::stop);
        inbound.values().forEach(NettyChannels::close);
        eventLoops
                .shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
    }

    /**
     * Returns the port that peers connect to; valid after the start.
     *
     * @return the bound port
     */
    public int localPort() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /**
     * Returns the traffic counters since the start.
     *
     * @return the counters
     */
    public TransportCounters counters() {
        return meter.read();
    }

    @Override
    public boolean send(String toVmId, Channel channel, byte[] payload) {
        EventLoopGroup eventLoops = group;
        PeerFrame frame = frame(channel, payload, 0);
        if (eventLoops == null || isTooLarge(frame)) {
            meter.frameDropped();
            return false;
        }
        if (toVmId.equals(self.vmId())) {
            eventLoops.execute(() -> dispatcher.dispatchMessage(self, channel.number(), payload));
            return true;
        }
        if (directory.find(toVmId).isEmpty()) {
            return sendInbound(toVmId, frame);
        }
        return connection(eventLoops, toVmId).send(frame);
    }

    @Override
    public Single<byte[]> call(String toVmId, Channel channel, byte[] payload, long timeoutMillis) {
        // Each subscription makes a new call with its own call id.
        return Single.defer(() -> callOnce(toVmId, channel, payload, timeoutMillis));
    }

    @Override
    public void listen(Channel channel, MessageListener listener) {
        dispatcher.listen(channel, listener);
    }

    @Override
    public void serve(Channel channel, CallHandler handler) {
        dispatcher.serve(channel, handler);
    }

    private boolean isTooLarge(PeerFrame frame) {
        return frame.getSerializedSize() > settings.maxFrameBytes();
    }

    private boolean sendInbound(String toVmId, PeerFrame frame) {
        io.netty.channel.Channel channel = inbound.get(toVmId);
        if (channel == null || !channel.isWritable()) {
            meter.frameDropped();
            return false;
        }
        NettyChannels.write(channel, frame);
        return true;
    }

    private Single<byte[]> callOnce(
            String toVmId, Channel channel, byte[] payload, long timeoutMillis) {
        EventLoopGroup eventLoops = group;
        if (eventLoops == null) {
            return notRun(ErrorCode.PEER_UNREACHABLE, "the transport is stopped");
        }
        PeerFrame frame = frame(channel, payload, nextCallId.getAndIncrement());
        if (isTooLarge(frame)) {
            return notRun(ErrorCode.REQUEST_TOO_LARGE, "the call exceeds the maximum frame size");
        }
        if (toVmId.equals(self.vmId())) {
            return callLocal(eventLoops, channel, payload, timeoutMillis);
        }
        return Single.create(
                emitter -> connection(eventLoops, toVmId).call(frame, timeoutMillis, emitter));
    }

    private Single<byte[]> callLocal(
            EventLoopGroup eventLoops, Channel channel, byte[] payload, long timeoutMillis) {
        return dispatcher
                .dispatchCall(self, channel.number(), payload)
                .subscribeOn(Schedulers.from(eventLoops))
                .timeout(
                        timeoutMillis,
                        TimeUnit.MILLISECONDS,
                        Single.error(
                                new BronzewheelException(
                                        ErrorCode.DEADLINE_EXCEEDED,
                                        Outcome.UNKNOWN,
                                        "this router did not reply in time",
                                        null)))
                .onErrorResumeNext(error -> Single.error(localCallError(error)));
    }

    private static BronzewheelException localCallError(Throwable error) {
        if (error instanceof BronzewheelException known && known.outcome() == Outcome.UNKNOWN) {
            return known;
        }
        return new BronzewheelException(
                FrameDispatcher.errorCode(error),
                Outcome.FAILED,
                "the call ended with an error",
                error);
    }

    private PeerConnection connection(EventLoopGroup eventLoops, String toVmId) {
        return connections.computeIfAbsent(
                toVmId,
                vmId ->
                        new PeerConnection(
                                self,
                                vmId,
                                eventLoops.next(),
                                directory,
                                settings,
                                dispatcher,
                                meter));
    }

    private PeerFrame frame(Channel channel, byte[] payload, long callId) {
        return PeerFrame.newBuilder()
                .setFromVmId(self.vmId())
                .setFromIncarnation(self.incarnation())
                .setChannel(channel.number())
                .setPayload(ByteString.copyFrom(payload))
                .setCallId(callId)
                .build();
    }

    private ChannelInitializer<SocketChannel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel socket) {
                socket.pipeline()
                        .addLast(
                                new IdleStateHandler(
                                        INBOUND_IDLE_FACTOR * settings.idleMillis(),
                                        0,
                                        0,
                                        TimeUnit.MILLISECONDS),
                                new FrameEncoder(meter),
                                new FrameDecoder(settings.maxFrameBytes(), meter),
                                new InboundHandler(self, dispatcher, meter, inbound));
            }
        };
    }

    private static Single<byte[]> notRun(ErrorCode code, String message) {
        return Single.error(new BronzewheelException(code, message));
    }
}
