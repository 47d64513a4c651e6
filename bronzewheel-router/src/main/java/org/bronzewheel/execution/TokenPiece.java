package org.bronzewheel.execution;

/**
 * A piece of generated text.
 *
 * @param offset the number of tokens before this piece
 * @param text the text
 */
public record TokenPiece(long offset, String text) {}
