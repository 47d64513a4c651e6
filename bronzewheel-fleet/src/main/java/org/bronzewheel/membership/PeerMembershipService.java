package org.bronzewheel.membership;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.processors.BehaviorProcessor;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.bronzewheel.document.DocumentRelay;
import org.bronzewheel.document.DocumentVersion;
import org.bronzewheel.document.RelayCodec;
import org.bronzewheel.document.RelayMessage;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.machine.Outgoing;
import org.bronzewheel.machine.StateMachineRunner;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.vm.VmList;
import org.bronzewheel.wire.MembershipFrame;

/**
 * A membership service over the peer transport, with a failure detector and a relay of the VM list.
 */
public final class PeerMembershipService implements MembershipService {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final PeerTransport transport;
    private final Scheduler scheduler;
    private final DetectorMachine detector;
    private final StateMachineRunner<DetectorMessage, MembershipView> host;
    private final DocumentRelay<VmList> relay;
    private final BehaviorProcessor<MembershipView> views =
            BehaviorProcessor.createDefault(MembershipView.EMPTY);

    /**
     * Creates a service; the transport must be started after this and before the service.
     *
     * @param transport carries the messages
     * @param reader reads the VM list
     * @param settings the times and limits
     * @param scheduler runs ticks and delivers views
     * @param nanoClock the monotonic time, in nanoseconds
     * @param random the source of jitter
     */
    public PeerMembershipService(
            PeerTransport transport,
            VmListReader reader,
            MembershipSettings settings,
            Scheduler scheduler,
            LongSupplier nanoClock,
            RandomGenerator random) {
        this.transport = transport;
        this.scheduler = scheduler;
        detector =
                new DetectorMachine(
                        transport.self(), settings, new SplittableRandom(random.nextLong()));
        host =
                new StateMachineRunner<>(
                        detector,
                        this::sendProbe,
                        this::publish,
                        scheduler,
                        nanoClock,
                        settings.tickMillis());
        int maxBytes = settings.relay().maxContentBytes();
        relay =
                new DocumentRelay<>(
                        this::sendRelay,
                        (after, wait) -> reader.read(after, wait).map(VmListCodec::toDocument),
                        document -> VmListCodec.check(document, maxBytes),
                        new ListListener(),
                        settings.relay(),
                        scheduler,
                        nanoClock,
                        random);
        transport.listen(Channel.MEMBERSHIP, this::receive);
    }

    @Override
    public void start() {
        host.start();
        relay.start();
    }

    @Override
    public void stop() {
        relay.stop();
        host.stop();
    }

    @Override
    public MembershipView current() {
        return views.getValue();
    }

    @Override
    public Flowable<MembershipView> changes() {
        return views.onBackpressureLatest().observeOn(scheduler, false, 1);
    }

    @Override
    public void announceLeaving() {
        host.apply(detector::announceLeaving);
    }

    @Override
    public void advertiseConfiguration(long revision) {
        host.apply(nowNanos -> detector.setConfigurationRevision(revision, nowNanos));
    }

    private void receive(Peer from, byte[] payload) {
        MembershipFrame frame = parse(payload);
        switch (frame.getKindCase()) {
            case PROBE -> host.receive(from, MembershipCodec.fromWire(frame.getProbe()));
            case LIST -> relay.receive(from, RelayCodec.fromWire(frame.getList()));
            case KIND_NOT_SET ->
                    logger.atFine().log(
                            "ignored a membership message of unknown kind from %s", from);
        }
    }

    private static MembershipFrame parse(byte[] payload) {
        try {
            return MembershipFrame.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            throw new BronzewheelException(ErrorCode.MALFORMED_REQUEST, e.getMessage());
        }
    }

    private void sendProbe(Outgoing<DetectorMessage> outgoing) {
        MembershipFrame.Builder frame =
                MembershipFrame.newBuilder().setProbe(MembershipCodec.toWire(outgoing.message()));
        send(outgoing.toVmId(), frame);
    }

    private void sendRelay(Outgoing<RelayMessage> outgoing) {
        MembershipFrame.Builder frame =
                MembershipFrame.newBuilder().setList(RelayCodec.toWire(outgoing.message()));
        send(outgoing.toVmId(), frame);
    }

    private void send(String toVmId, MembershipFrame.Builder frame) {
        transport.send(toVmId, Channel.MEMBERSHIP, frame.build().toByteArray());
    }

    /** Publishes a view; calls are serialized. */
    private void publish(MembershipView view) {
        boolean unchanged = RelayPeerSelector.selectsSamePeers(views.getValue(), view);
        views.onNext(view);
        if (!unchanged) {
            relay.setPeers(RelayPeerSelector.select(view, transport.self().vmId()));
        }
    }

    private final class ListListener implements DocumentRelay.Listener<VmList> {
        @Override
        public void accepted(DocumentVersion version, VmList list) {
            host.apply(nowNanos -> detector.setList(list, nowNanos));
        }

        @Override
        public void refused(DocumentVersion version, String reason) {
            // The relay has logged the refusal; the previous list stays in force.
        }
    }
}
