package org.bronzewheel.execution;

import java.util.ArrayList;
import java.util.List;

/**
 * The text that a reader has got from its begin on. The pieces of a request go with the router that
 * holds it, while its answer is also found among the copies.
 */
final class FollowedText {
    private final StringBuilder text = new StringBuilder();
    private long nextOffset;

    /** Returns a result, at the end of the request with the part of its text that was not read. */
    ReadResult complete(ReadResult result) {
        result.pieces().forEach(piece -> text.append(piece.text()));
        nextOffset = result.nextOffset(nextOffset);
        if (!result.ended() || text.isEmpty()) {
            return result;
        }
        String whole = Bodies.text(result.answer());
        if (whole.length() <= text.length() || !whole.startsWith(text.toString())) {
            return result;
        }
        List<TokenPiece> pieces = new ArrayList<>(result.pieces());
        pieces.add(new TokenPiece(nextOffset, 0, whole.substring(text.length())));
        return new ReadResult(List.copyOf(pieces), result.answer());
    }
}
