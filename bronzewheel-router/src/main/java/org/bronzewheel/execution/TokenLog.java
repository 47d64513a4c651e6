package org.bronzewheel.execution;

import java.util.ArrayList;
import java.util.List;

/**
 * The text that a request has generated, in pieces. Not safe for use by several threads; {@link
 * HeldRequest} guards it.
 */
final class TokenLog {
    private final List<TokenPiece> pieces = new ArrayList<>();
    private final StringBuilder text = new StringBuilder();
    private long nextOffset;
    private boolean read;

    /**
     * Appends a piece, or the rest of one whose begin is already there; the rest begins at the
     * token that follows the text.
     */
    void append(long offset, long tokens, String rest) {
        long begin = Math.max(offset, nextOffset);
        nextOffset = Math.max(begin + 1, offset + tokens);
        pieces.add(new TokenPiece(begin, nextOffset - begin, rest));
        text.append(rest);
    }

    /** Returns the pieces from an offset on. */
    List<TokenPiece> from(long offset) {
        int first = pieces.size();
        while (first > 0 && pieces.get(first - 1).offset() >= offset) {
            first--;
        }
        if (first == pieces.size()) {
            return List.of();
        }
        read = true;
        return List.copyOf(pieces.subList(first, pieces.size()));
    }

    /** Forgets the text unless a reader has seen some of it. */
    void restart() {
        if (!read) {
            pieces.clear();
            text.setLength(0);
            nextOffset = 0;
        }
    }

    int length() {
        return text.length();
    }

    /** Tells whether a text agrees with what stands at a position, as far as both reach. */
    boolean agrees(int position, String piece) {
        int end = Math.min(text.length(), position + piece.length());
        return position >= end
                || text.substring(position, end).equals(piece.substring(0, end - position));
    }
}
