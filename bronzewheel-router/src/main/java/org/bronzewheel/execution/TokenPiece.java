package org.bronzewheel.execution;

/**
 * A piece of generated text.
 *
 * @param offset the number of tokens before this piece
 * @param tokens the number of tokens of this piece, 0 where it is not known
 * @param text the text
 */
public record TokenPiece(long offset, long tokens, String text) {}
