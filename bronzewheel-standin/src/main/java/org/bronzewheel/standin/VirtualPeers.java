package org.bronzewheel.standin;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.transport.CallHandler;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.MessageListener;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.transport.PeerTransport;

/** A stand-in of the network between routers, in virtual time. */
public final class VirtualPeers {
    private static final long DELAY_MILLIS = 1;

    private final Scheduler scheduler;
    private final Map<String, Router> routers = new HashMap<>();
    private final Set<String> silent = new HashSet<>();
    private final Set<String> apart = new HashSet<>();
    private final Map<Channel, Long> bytes = new EnumMap<>(Channel.class);
    private final Map<Channel, Long> messages = new EnumMap<>(Channel.class);

    /**
     * Creates a network without routers.
     *
     * @param scheduler the time
     */
    public VirtualPeers(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /**
     * Adds a router.
     *
     * @param vmId its VM
     * @return its way to the others
     */
    public PeerTransport add(String vmId) {
        Router router = new Router(vmId);
        routers.put(vmId, router);
        return router;
    }

    /**
     * Lets a router neither send nor receive; calls to it time out.
     *
     * @param vmId its VM
     */
    public void silence(String vmId) {
        silent.add(vmId);
    }

    /**
     * Ends the silence of a router.
     *
     * @param vmId its VM
     */
    public void heal(String vmId) {
        silent.remove(vmId);
    }

    /**
     * Cuts the network in two; the routers of a side reach each other.
     *
     * @param side the VMs of one side; none where the network is whole again
     */
    public void cut(Set<String> side) {
        apart.clear();
        apart.addAll(side);
    }

    /**
     * Returns the number of messages, calls and replies that were sent.
     *
     * @param channel the kind of traffic
     * @return the number since the start
     */
    public long messages(Channel channel) {
        return messages.getOrDefault(channel, 0L);
    }

    /**
     * Returns the length of all messages, calls and replies that were sent.
     *
     * @param channel the kind of traffic
     * @return the payloads since the start, in bytes
     */
    public long bytes(Channel channel) {
        return bytes.getOrDefault(channel, 0L);
    }

    private void count(Channel channel, byte[] payload) {
        messages.merge(channel, 1L, Long::sum);
        bytes.merge(channel, (long) payload.length, Long::sum);
    }

    private boolean reaches(String from, String to) {
        return routers.containsKey(to)
                && !silent.contains(from)
                && !silent.contains(to)
                && apart.contains(from) == apart.contains(to);
    }

    private final class Router implements PeerTransport {
        private final Peer self;
        private final Map<Channel, MessageListener> listeners = new EnumMap<>(Channel.class);
        private final Map<Channel, CallHandler> handlers = new EnumMap<>(Channel.class);

        Router(String vmId) {
            self = new Peer(vmId, 1);
        }

        @Override
        public Peer self() {
            return self;
        }

        @Override
        public boolean send(String toVmId, Channel channel, byte[] payload) {
            count(channel, payload);
            if (!reaches(self.vmId(), toVmId)) {
                return false;
            }
            scheduler.scheduleDirect(
                    () -> routers.get(toVmId).listeners.get(channel).receive(self, payload),
                    DELAY_MILLIS,
                    TimeUnit.MILLISECONDS);
            return true;
        }

        @Override
        public Single<byte[]> call(
                String toVmId, Channel channel, byte[] payload, long timeoutMillis) {
            count(channel, payload);
            Single<byte[]> answer =
                    Single.timer(DELAY_MILLIS, TimeUnit.MILLISECONDS, scheduler)
                            .flatMap(
                                    t ->
                                            reaches(self.vmId(), toVmId)
                                                    ? routers.get(toVmId)
                                                            .handlers
                                                            .get(channel)
                                                            .handle(self, payload)
                                                    : Single.never())
                            .doOnSuccess(reply -> count(channel, reply))
                            .delay(DELAY_MILLIS, TimeUnit.MILLISECONDS, scheduler)
                            .flatMap(
                                    bytes ->
                                            reaches(toVmId, self.vmId())
                                                    ? Single.just(bytes)
                                                    : Single.never());
            return answer.timeout(
                    timeoutMillis,
                    TimeUnit.MILLISECONDS,
                    scheduler,
                    Single.error(
                            new BronzewheelException(ErrorCode.PEER_UNREACHABLE, "no answer")));
        }

        @Override
        public void listen(Channel channel, MessageListener listener) {
            listeners.put(channel, listener);
        }

        @Override
        public void serve(Channel channel, CallHandler handler) {
            handlers.put(channel, handler);
        }

        @Override
        public void start() {}

        @Override
        public void stop() {}
    }
}
