package org.bronzewheel.check;

import io.reactivex.rxjava3.core.Single;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.transport.CallHandler;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.MessageListener;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.transport.PeerTransport;

/** In-process transports that deliver synchronously, except to and from VMs that are down. */
public final class FakeNetwork {
    private final Map<String, Endpoint> endpoints = new TreeMap<>();
    private final Set<String> down = new HashSet<>();
    private long messages;
    private long bytes;

    /** Adds a router, or a new incarnation of an existing one. */
    public PeerTransport addRouter(String vmId, long incarnation) {
        Endpoint endpoint = new Endpoint(new Peer(vmId, incarnation));
        endpoints.put(vmId, endpoint);
        return endpoint;
    }

    public void setDown(String vmId, boolean isDown) {
        if (isDown) {
            down.add(vmId);
        } else {
            down.remove(vmId);
        }
    }

    public long messages() {
        return messages;
    }

    public long bytes() {
        return bytes;
    }

    private final class Endpoint implements PeerTransport {
        private final Peer self;
        private final Map<Channel, MessageListener> listeners = new EnumMap<>(Channel.class);
        private final Map<Channel, CallHandler> handlers = new EnumMap<>(Channel.class);

        Endpoint(Peer self) {
            this.self = self;
        }

        @Override
        public void start() {}

        @Override
        public void stop() {}

        @Override
        public Peer self() {
            return self;
        }

        @Override
        public boolean send(String toVmId, Channel channel, byte[] payload) {
            messages++;
            bytes += payload.length;
            if (!isReachable(toVmId) || !endpoints.get(toVmId).listeners.containsKey(channel)) {
                return false;
            }
            endpoints.get(toVmId).listeners.get(channel).receive(self, payload);
            return true;
        }

        @Override
        public Single<byte[]> call(
                String toVmId, Channel channel, byte[] payload, long timeoutMillis) {
            return Single.defer(
                    () ->
                            isReachable(toVmId)
                                    ? endpoints
                                            .get(toVmId)
                                            .handlers
                                            .get(channel)
                                            .handle(self, payload)
                                    : Single.error(
                                            new BronzewheelException(
                                                    ErrorCode.NO_UPSTREAM, "peer is down")));
        }

        @Override
        public void listen(Channel channel, MessageListener listener) {
            listeners.put(channel, listener);
        }

        @Override
        public void serve(Channel channel, CallHandler handler) {
            handlers.put(channel, handler);
        }

        private boolean isReachable(String toVmId) {
            return endpoints.containsKey(toVmId)
                    && !down.contains(toVmId)
                    && !down.contains(self.vmId());
        }
    }
}
