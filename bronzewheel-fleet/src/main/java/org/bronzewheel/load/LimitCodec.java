package org.bronzewheel.load;

import com.google.protobuf.InvalidProtocolBufferException;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.wire.LimitFrame;

/** Encodes and decodes the messages about shared limits. */
final class LimitCodec {
    private LimitCodec() {}

    static byte[] encode(LimitMessage message) {
        return LimitFrame.newBuilder()
                .setKind(kind(message))
                .setLimit(message.limit())
                .setRound(message.round())
                .setAmountPerSecond(message.amountPerSecond())
                .build()
                .toByteArray();
    }

    static LimitMessage decode(byte[] payload) {
        LimitFrame frame = parse(payload);
        String limit = frame.getLimit();
        long round = frame.getRound();
        double amount = frame.getAmountPerSecond();
        return switch (frame.getKind()) {
            case WISH -> new LimitMessage.Request(limit, round, amount);
            case CALL -> new LimitMessage.LoanRequest(limit, round);
            case LOAN -> new LimitMessage.Loan(limit, round, amount);
            case GRANT -> new LimitMessage.Grant(limit, round, amount);
            case UNSPECIFIED, UNRECOGNIZED ->
                    throw new BronzewheelException(
                            ErrorCode.MALFORMED_REQUEST, "limit message has an unknown kind");
        };
    }

    private static LimitFrame.Kind kind(LimitMessage message) {
        if (message instanceof LimitMessage.Request) {
            return LimitFrame.Kind.WISH;
        }
        if (message instanceof LimitMessage.LoanRequest) {
            return LimitFrame.Kind.CALL;
        }
        return message instanceof LimitMessage.Loan ? LimitFrame.Kind.LOAN : LimitFrame.Kind.GRANT;
    }

    private static LimitFrame parse(byte[] payload) {
        try {
            return LimitFrame.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            throw new BronzewheelException(ErrorCode.MALFORMED_REQUEST, e.getMessage());
        }
    }
}
