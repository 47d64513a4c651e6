package org.bronzewheel.relay;

import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.configuration.ConfigurationParser;
import org.bronzewheel.document.DocumentRelay;
import org.bronzewheel.document.DocumentVersion;
import org.bronzewheel.document.RelayCodec;
import org.bronzewheel.document.RelayMessage;
import org.bronzewheel.document.RelaySettings;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.machine.Outgoing;
import org.bronzewheel.membership.MembershipService;
import org.bronzewheel.membership.RelayPeerSelector;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.wire.RelayFrame;

/** A configuration service that relays the published documents over the peer transport. */
public final class RelayedConfigurationService implements ConfigurationService {
    private static final int MAX_REFUSALS = 16;

    private final PeerTransport transport;
    private final MembershipService membership;
    private final Scheduler scheduler;
    private final DocumentRelay<Configuration> relay;
    private final BehaviorProcessor<Configuration> configurations = BehaviorProcessor.create();
    private final Deque<ConfigurationRefusal> refusals = new ArrayDeque<>();
    private volatile Disposable peerUpdates;

    /**
     * Creates a service; the transport must be started after this and before the service.
     *
     * @param transport carries the messages
     * @param membership provides the relay peers
     * @param reader reads the documents
     * @param settings the times and limits
     * @param scheduler runs ticks, checks documents and delivers configurations
     * @param nanoClock the monotonic time, in nanoseconds
     * @param random the source of jitter
     */
    public RelayedConfigurationService(
            PeerTransport transport,
            MembershipService membership,
            ConfigurationReader reader,
            RelaySettings settings,
            Scheduler scheduler,
            LongSupplier nanoClock,
            RandomGenerator random) {
        this.transport = transport;
        this.membership = membership;
        this.scheduler = scheduler;
        ConfigurationParser parser = new ConfigurationParser();
        int maxBytes = settings.maxContentBytes();
        relay =
                new DocumentRelay<>(
                        this::send,
                        (after, wait) ->
                                reader.read(after, wait).map(ConfigurationCodec::toDocument),
                        document -> ConfigurationCodec.check(document, parser, maxBytes),
                        new RelayListener(),
                        settings,
                        scheduler,
                        nanoClock,
                        random);
        transport.listen(Channel.CONFIGURATION, this::receive);
    }

    @Override
    public void start() {
        String selfVmId = transport.self().vmId();
        peerUpdates =
                membership
                        .changes()
                        .filter(view -> view.list().revision() > 0)
                        .distinctUntilChanged(RelayPeerSelector::selectsSamePeers)
                        .map(view -> RelayPeerSelector.select(view, selfVmId))
                        .subscribe(relay::setPeers);
        relay.start();
    }

    @Override
    public void stop() {
        relay.stop();
        Disposable running = peerUpdates;
        if (running != null) {
            running.dispose();
        }
    }

    @Override
    public Optional<Configuration> current() {
        return Optional.ofNullable(configurations.getValue());
    }

    @Override
    public Flowable<Configuration> changes() {
        return configurations.onBackpressureLatest().observeOn(scheduler, false, 1);
    }

    @Override
    public List<ConfigurationRefusal> refusals() {
        synchronized (refusals) {
            return List.copyOf(refusals);
        }
    }

    private void receive(Peer from, byte[] payload) {
        try {
            relay.receive(from, RelayCodec.fromWire(RelayFrame.parseFrom(payload)));
        } catch (InvalidProtocolBufferException e) {
            throw new BronzewheelException(ErrorCode.MALFORMED_REQUEST, e.getMessage());
        }
    }

    private void send(Outgoing<RelayMessage> outgoing) {
        byte[] payload = RelayCodec.toWire(outgoing.message()).toByteArray();
        transport.send(outgoing.toVmId(), Channel.CONFIGURATION, payload);
    }

    private final class RelayListener implements DocumentRelay.Listener<Configuration> {
        @Override
        public void accepted(DocumentVersion version, Configuration configuration) {
            configurations.onNext(configuration);
            membership.advertiseConfiguration(version.revision());
        }

        @Override
        public void refused(DocumentVersion version, String reason) {
            synchronized (refusals) {
                refusals.addFirst(
                        new ConfigurationRefusal(version.revision(), version.digest(), reason));
                if (refusals.size() > MAX_REFUSALS) {
                    refusals.removeLast();
                }
            }
        }
    }
}
