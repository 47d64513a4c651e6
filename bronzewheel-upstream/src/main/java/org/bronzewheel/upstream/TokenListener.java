package org.bronzewheel.upstream;

/** A receiver of generated text while it is generated. */
@FunctionalInterface
public interface TokenListener {
    /** Ignores the text. */
    TokenListener NONE = (offset, tokens, text) -> {};

    /**
     * Takes the next piece; pieces come in order without gap or repetition.
     *
     * @param offset the number of tokens before this piece
     * @param tokens the number of tokens of this piece, at least 1
     * @param text the text of the piece
     */
    void token(long offset, long tokens, String text);
}
