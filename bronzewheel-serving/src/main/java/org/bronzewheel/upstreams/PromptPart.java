package org.bronzewheel.upstreams;

/**
 * A part of a prompt that requests may share.
 *
 * @param id the id of its content
 * @param tokens its length in tokens
 */
public record PromptPart(String id, int tokens) {}
