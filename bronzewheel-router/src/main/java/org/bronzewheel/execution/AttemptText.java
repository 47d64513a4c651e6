package org.bronzewheel.execution;

import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.upstream.TokenListener;

/**
 * The text of one attempt on its way to the readers. A further attempt must repeat what readers
 * have seen of an earlier one; that part is not shown twice.
 */
final class AttemptText implements TokenListener {
    private final HeldRequest held;
    private int position;

    AttemptText(HeldRequest held) {
        this.held = held;
        held.restartText(this);
    }

    @Override
    public void token(long offset, long tokens, String text) {
        if (!held.append(this, position, offset, tokens, text)) {
            throw new BronzewheelException(
                    ErrorCode.UPSTREAM_ANSWER_INVALID,
                    Outcome.UNKNOWN,
                    "a further attempt generated another text than its readers have seen",
                    null);
        }
        position += text.length();
    }
}
