package org.bronzewheel.execution;

import static com.google.common.truth.Truth.assertThat;

import org.bronzewheel.request.RequestId;
import org.junit.jupiter.api.Test;

class AttemptTextTest {
    private final HeldRequest held = new HeldRequest(new RequestId("vm-1", 36, 1));

    @Test
    void aLatePieceOfASupersededAttemptIsNotJoinedToTheNextOne() {
        AttemptText superseded = new AttemptText(held);
        superseded.token(0, 1, "a");
        AttemptText next = new AttemptText(held);
        superseded.token(1, 1, "b");
        next.token(0, 1, "a");

        assertThat(held.read(0).pieces()).containsExactly(new TokenPiece(0, 1, "a"));
    }
}
