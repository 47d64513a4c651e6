package org.bronzewheel.steward;

import com.google.protobuf.InvalidProtocolBufferException;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.wire.StewardFrame;

/** Encodes and decodes the messages about leases. */
final class StewardCodec {
    private StewardCodec() {}

    static byte[] encode(StewardMessage message) {
        StewardFrame.Builder frame =
                StewardFrame.newBuilder().setPool(message.pool()).setRound(message.round());
        if (message instanceof StewardMessage.Request request) {
            frame.setKind(StewardFrame.Kind.REQUEST)
                    .setListRevision(request.listRevision())
                    .setConfigurationRevision(request.configurationRevision());
        } else if (message instanceof StewardMessage.Reply reply) {
            frame.setKind(reply.granted() ? StewardFrame.Kind.GRANTED : StewardFrame.Kind.REFUSED);
        } else {
            frame.setKind(StewardFrame.Kind.RELEASE);
        }
        return frame.build().toByteArray();
    }

    static StewardMessage decode(byte[] payload) {
        StewardFrame frame = parse(payload);
        return switch (frame.getKind()) {
            case REQUEST ->
                    new StewardMessage.Request(
                            frame.getPool(),
                            frame.getRound(),
                            frame.getListRevision(),
                            frame.getConfigurationRevision());
            case GRANTED -> new StewardMessage.Reply(frame.getPool(), frame.getRound(), true);
            case REFUSED -> new StewardMessage.Reply(frame.getPool(), frame.getRound(), false);
            case RELEASE -> new StewardMessage.Release(frame.getPool(), frame.getRound());
            case UNSPECIFIED, UNRECOGNIZED ->
                    throw new BronzewheelException(
                            ErrorCode.MALFORMED_REQUEST, "steward message has an unknown kind");
        };
    }

    private static StewardFrame parse(byte[] payload) {
        try {
            return StewardFrame.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            throw new BronzewheelException(ErrorCode.MALFORMED_REQUEST, e.getMessage());
        }
    }
}
