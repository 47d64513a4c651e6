package org.bronzewheel.answer;

import java.util.Optional;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.wire.AnswerCall;
import org.bronzewheel.wire.AnswerCopy;

/** Converts stored answers to and from their protobuf messages. */
final class AnswerCodec {
    private AnswerCodec() {}

    static AnswerCopy encode(StoredAnswer answer) {
        return AnswerCopy.newBuilder()
                .setRequestId(answer.requestId().toString())
                .setOutcome(answer.outcome().name())
                .setHttpStatus(answer.httpStatus())
                .setContentType(answer.contentType())
                .setBody(answer.body())
                .build();
    }

    /**
     * Returns the answer, or empty if the message contains none.
     *
     * @throws IllegalArgumentException if the outcome is unknown
     */
    static Optional<StoredAnswer> decode(AnswerCopy copy) {
        return RequestId.parse(copy.getRequestId())
                .map(
                        requestId ->
                                new StoredAnswer(
                                        requestId,
                                        Outcome.valueOf(copy.getOutcome()),
                                        copy.getHttpStatus(),
                                        copy.getContentType(),
                                        copy.getBody()));
    }

    static byte[] keepCall(StoredAnswer answer) {
        return AnswerCall.newBuilder().setKeep(encode(answer)).build().toByteArray();
    }

    static byte[] findCall(RequestId requestId) {
        return AnswerCall.newBuilder().setFind(requestId.toString()).build().toByteArray();
    }
}
