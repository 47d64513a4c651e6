package org.bronzewheel.execution;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.bronzewheel.answer.StoredAnswer;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.RequestId;
import org.junit.jupiter.api.Test;

class FollowedTextTest {
    private static final RequestId ID = new RequestId("vm-2", 40, 1);
    private static final TokenPiece BEGIN = new TokenPiece(0, 2, "ab");

    private static ReadResult end(Outcome outcome, String body) {
        return new ReadResult(
                List.of(), new StoredAnswer(ID, outcome, 200, "application/json", body));
    }

    private static ReadResult endAfterBegin(ReadResult end) {
        FollowedText text = new FollowedText();
        text.complete(new ReadResult(List.of(BEGIN), null));
        return text.complete(end);
    }

    @Test
    void anAnswerThatContradictsWhatWasReadIsNotJoinedToIt() {
        ReadResult end = end(Outcome.ANSWERED, "{\"answer\":{\"text\":\"xyz\"}}");
        assertThat(endAfterBegin(end)).isEqualTo(end);
    }

    @Test
    void aTextThatWasReadWholeGetsNoFurtherPiece() {
        ReadResult end = end(Outcome.ANSWERED, "{\"answer\":{\"text\":\"ab\"}}");
        assertThat(endAfterBegin(end)).isEqualTo(end);
    }

    @Test
    void anErrorIsNoText() {
        ReadResult end = end(Outcome.UNKNOWN, "{\"answer\":{\"text\":\"abc\"}}");
        assertThat(endAfterBegin(end)).isEqualTo(end);
    }

    @Test
    void theRestComesBehindThePiecesOfTheLastRead() {
        StoredAnswer answer = end(Outcome.ANSWERED, "{\"answer\":{\"text\":\"abcd\"}}").answer();
        ReadResult end = endAfterBegin(new ReadResult(List.of(new TokenPiece(2, 1, "c")), answer));
        assertThat(end.pieces())
                .containsExactly(new TokenPiece(2, 1, "c"), new TokenPiece(3, 0, "d"))
                .inOrder();
    }
}
