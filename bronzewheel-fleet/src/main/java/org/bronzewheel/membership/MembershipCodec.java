package org.bronzewheel.membership;

import java.util.List;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.wire.MemberEntry;
import org.bronzewheel.wire.MembershipProbe;

/** The wire form of the messages between failure detectors. */
final class MembershipCodec {
    private MembershipCodec() {}

    static MembershipProbe toWire(DetectorMessage message) {
        MembershipProbe.Builder wire = MembershipProbe.newBuilder();
        if (message instanceof DetectorMessage.Probe probe) {
            wire.setKind(MembershipProbe.Kind.PROBE).setSequence(probe.sequence());
        } else if (message instanceof DetectorMessage.Ack ack) {
            wire.setKind(MembershipProbe.Kind.ACK)
                    .setSequence(ack.sequence())
                    .setTarget(ack.target());
        } else if (message instanceof DetectorMessage.ProbeRequest request) {
            wire.setKind(MembershipProbe.Kind.REQUEST)
                    .setSequence(request.sequence())
                    .setTarget(request.target());
        } else if (message instanceof DetectorMessage.ProbeFailed failed) {
            wire.setKind(MembershipProbe.Kind.FAILED)
                    .setSequence(failed.sequence())
                    .setTarget(failed.target());
        } else {
            wire.setKind(MembershipProbe.Kind.NEWS);
        }
        message.states().forEach(state -> wire.addEntries(toWire(state)));
        return wire.build();
    }

    static DetectorMessage fromWire(MembershipProbe wire) {
        List<MemberState> states =
                wire.getEntriesList().stream().map(MembershipCodec::fromWire).toList();
        long sequence = wire.getSequence();
        return switch (wire.getKind()) {
            case PROBE -> new DetectorMessage.Probe(sequence, states);
            case ACK -> new DetectorMessage.Ack(sequence, wire.getTarget(), states);
            case REQUEST -> new DetectorMessage.ProbeRequest(sequence, wire.getTarget(), states);
            case FAILED -> new DetectorMessage.ProbeFailed(sequence, wire.getTarget(), states);
            case NEWS -> new DetectorMessage.Gossip(states);
            case UNSPECIFIED, UNRECOGNIZED ->
                    throw new BronzewheelException(
                            ErrorCode.MALFORMED_REQUEST, "membership message of unknown kind");
        };
    }

    private static MemberEntry toWire(MemberState state) {
        return MemberEntry.newBuilder()
                .setVmId(state.vmId())
                .setIncarnation(state.incarnation())
                .setVersion(state.version())
                .setRefutation(state.refutation())
                .setSuspect(state.suspect())
                .setLeaving(state.leaving())
                .setListRevision(state.listRevision())
                .setConfigurationRevision(state.configurationRevision())
                .build();
    }

    private static MemberState fromWire(MemberEntry wire) {
        return new MemberState(
                wire.getVmId(),
                wire.getIncarnation(),
                wire.getVersion(),
                wire.getRefutation(),
                wire.getSuspect(),
                wire.getLeaving(),
                wire.getListRevision(),
                wire.getConfigurationRevision());
    }
}
