package org.bronzewheel.execution;

import com.fasterxml.jackson.databind.JsonNode;

/** The hash by which cache events of model engines name a prompt prefix. */
final class PrefixHash {
    private static final int BLOCK_CHARS = 256;
    private static final int MAX_BLOCKS = 2;
    private static final int HASH_DIGITS = 16;
    private static final int RADIX = 16;

    private PrefixHash() {}

    /** Returns the hash of the first blocks of a prompt, 0 where it has no whole block. */
    static long of(JsonNode input) {
        String prompt = input.isTextual() ? input.textValue() : input.toString();
        int blocks = Math.min(MAX_BLOCKS, prompt.length() / BLOCK_CHARS);
        if (blocks == 0) {
            return 0;
        }
        return parse(Digests.sha256(prompt.substring(0, blocks * BLOCK_CHARS)));
    }

    /** Reads a hash in hexadecimal, of which the first 16 digits count; 0 where it is none. */
    static long parse(String hexadecimal) {
        try {
            int digits = Math.min(HASH_DIGITS, hexadecimal.length());
            return Long.parseUnsignedLong(hexadecimal.substring(0, digits), RADIX);
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
