package org.bronzewheel.membership;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongFunction;
import org.bronzewheel.document.CheckResult;
import org.bronzewheel.document.CheckedDocument;
import org.bronzewheel.document.DocumentVersion;
import org.bronzewheel.document.RelayCodec;
import org.bronzewheel.document.RelayMachine;
import org.bronzewheel.document.RelayMessage;
import org.bronzewheel.document.RelayPeers;
import org.bronzewheel.document.VirtualRelay;
import org.bronzewheel.machine.Outgoing;
import org.bronzewheel.machine.Step;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.vm.VmList;
import org.bronzewheel.wire.MembershipFrame;
import org.bronzewheel.wire.PeerFrame;
import org.bronzewheel.wire.RelayFrame;

/** A router of a {@link VirtualFleet}: detector, relay of the list and relay of configurations. */
final class VirtualRouter {
    private static final int MAX_LIST_BYTES = 4 << 20;

    final Peer self;
    final List<MembershipView> views = new ArrayList<>();
    final VirtualRelay configurationRelay;
    private final VirtualFleet fleet;
    private final DetectorMachine detector;
    private final VirtualRelay listRelay;
    private MembershipView lastView = MembershipView.EMPTY;
    private boolean running = true;

    VirtualRouter(VirtualFleet fleet, Peer self) {
        this.fleet = fleet;
        this.self = self;
        SplittableRandom random = fleet.network.random().split();
        detector = new DetectorMachine(self, VirtualFleet.SETTINGS, random.split(), fleet.rules());
        listRelay =
                new VirtualRelay(
                        self.vmId(),
                        fleet.network,
                        fleet.listPlatform,
                        new RelayMachine(VirtualFleet.SETTINGS.relay(), random.split()),
                        document -> VmListCodec.check(document, MAX_LIST_BYTES).result(),
                        VirtualFleet.LIST_CHECK_MILLIS,
                        this::sendListMessage);
        listRelay.onAccepted(
                document -> {
                    CheckedDocument<VmList> list = VmListCodec.check(document, MAX_LIST_BYTES);
                    apply(now -> detector.setList(list.value().orElseThrow(), now));
                });
        configurationRelay =
                new VirtualRelay(
                        self.vmId(),
                        fleet.network,
                        fleet.configurationPlatform,
                        new RelayMachine(VirtualFleet.SETTINGS.relay(), random.split()),
                        document -> new CheckResult.Valid(),
                        VirtualFleet.CONFIGURATION_CHECK_MILLIS,
                        this::sendConfigurationMessage);
        configurationRelay.onAccepted(
                document -> {
                    long revision = document.version().revision();
                    apply(now -> detector.setConfigurationRevision(revision, now));
                });
    }

    void start() {
        long tickMillis = VirtualFleet.SETTINGS.tickMillis();
        // The daemon waits for a VM list before it requests a configuration, as the list provides
        // the peers.
        listRelay.start(tickMillis);
        tick(tickMillis);
    }

    void stop() {
        running = false;
        listRelay.stop();
        configurationRelay.stop();
    }

    MembershipView view() {
        return detector.view();
    }

    MemberHealth healthOf(String vmId) {
        return view().find(vmId).orElseThrow().health();
    }

    /** The number of times that the health of a router changed in the views of this one. */
    long changesOf(String vmId) {
        List<MemberHealth> healths =
                views.stream().flatMap(v -> v.find(vmId).stream()).map(Member::health).toList();
        long changes = 0;
        for (int i = 1; i < healths.size(); i++) {
            changes += healths.get(i) == healths.get(i - 1) ? 0 : 1;
        }
        return changes;
    }

    DocumentVersion configuration() {
        List<DocumentVersion> accepted = configurationRelay.accepted();
        return accepted.isEmpty() ? null : accepted.get(accepted.size() - 1);
    }

    void announceLeaving() {
        apply(detector::announceLeaving);
    }

    private void tick(long tickMillis) {
        if (!running) {
            return;
        }
        fleet.network.runOn(self.vmId(), () -> apply(detector::tick));
        fleet.network.after(tickMillis, () -> tick(tickMillis));
    }

    private void apply(LongFunction<Step<DetectorMessage, MembershipView>> input) {
        if (!running) {
            return;
        }
        Step<DetectorMessage, MembershipView> step = input.apply(fleet.network.nowNanos());
        for (Outgoing<DetectorMessage> outgoing : step.messages()) {
            MembershipFrame frame =
                    MembershipFrame.newBuilder()
                            .setProbe(MembershipCodec.toWire(outgoing.message()))
                            .build();
            send(outgoing.toVmId(), Channel.MEMBERSHIP, frame.toByteString());
        }
        step.events().forEach(this::setView);
    }

    private void setView(MembershipView view) {
        if (fleet.recordsViews()) {
            views.add(view);
        }
        if (RelayPeerSelector.selectsSamePeers(lastView, view)) {
            return;
        }
        boolean first = lastView.list().revision() == 0;
        lastView = view;
        RelayPeers next = RelayPeerSelector.select(view, self.vmId());
        listRelay.setPeers(next);
        configurationRelay.setPeers(next);
        if (first) {
            configurationRelay.start(VirtualFleet.SETTINGS.tickMillis());
        }
    }

    private void sendListMessage(Outgoing<RelayMessage> outgoing) {
        MembershipFrame frame =
                MembershipFrame.newBuilder().setList(RelayCodec.toWire(outgoing.message())).build();
        send(outgoing.toVmId(), Channel.MEMBERSHIP, frame.toByteString());
    }

    private void sendConfigurationMessage(Outgoing<RelayMessage> outgoing) {
        ByteString payload = RelayCodec.toWire(outgoing.message()).toByteString();
        send(outgoing.toVmId(), Channel.CONFIGURATION, payload);
    }

    private void send(String toVmId, Channel channel, ByteString payload) {
        PeerFrame frame =
                PeerFrame.newBuilder()
                        .setFromVmId(self.vmId())
                        .setFromIncarnation(self.incarnation())
                        .setChannel(channel.number())
                        .setPayload(payload)
                        .build();
        fleet.transmit(self.vmId(), toVmId, frame);
    }

    void receive(PeerFrame frame) throws InvalidProtocolBufferException {
        if (!running) {
            return;
        }
        Peer from = new Peer(frame.getFromVmId(), frame.getFromIncarnation());
        if (frame.getChannel() == Channel.CONFIGURATION.number()) {
            RelayFrame relayFrame = RelayFrame.parseFrom(frame.getPayload());
            configurationRelay.receive(from.vmId(), RelayCodec.fromWire(relayFrame));
            return;
        }
        MembershipFrame membership = MembershipFrame.parseFrom(frame.getPayload());
        if (membership.hasList()) {
            listRelay.receive(from.vmId(), RelayCodec.fromWire(membership.getList()));
        } else {
            DetectorMessage message = MembershipCodec.fromWire(membership.getProbe());
            apply(now -> detector.receive(from, message, now));
        }
    }
}
