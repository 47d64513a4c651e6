package org.bronzewheel.execution;

import java.util.List;
import org.bronzewheel.answer.StoredAnswer;

/**
 * What a reader of a request gets at once.
 *
 * @param pieces generated text from the asked offset on, in order
 * @param answer the end of the request, null while it runs
 */
public record ReadResult(List<TokenPiece> pieces, StoredAnswer answer) {
    /** Asks for the end only, not for generated text. */
    public static final long NO_TOKENS = Long.MAX_VALUE;

    /**
     * Tells whether the request has ended.
     *
     * @return true where the answer is there
     */
    public boolean ended() {
        return answer != null;
    }

    /**
     * Returns the offset to read on from.
     *
     * @param offset the offset that was asked for
     * @return the offset after the last piece, or the same where there was none
     */
    public long nextOffset(long offset) {
        if (pieces.isEmpty()) {
            return offset;
        }
        TokenPiece last = pieces.get(pieces.size() - 1);
        return last.offset() + Math.max(1, last.tokens());
    }
}
