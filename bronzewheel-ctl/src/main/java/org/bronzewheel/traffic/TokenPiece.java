package org.bronzewheel.traffic;

/**
 * A piece of a streamed answer.
 *
 * @param offset the number of tokens before this piece, as the router says
 * @param text the text
 */
public record TokenPiece(long offset, String text) {}
