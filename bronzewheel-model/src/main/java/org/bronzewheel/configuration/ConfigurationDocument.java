package org.bronzewheel.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * The published configuration as raw text, before validation.
 *
 * @param revision grows with each change
 * @param inventoryText the inventory in YAML
 * @param rulesText the rules in YAML
 */
public record ConfigurationDocument(long revision, String inventoryText, String rulesText) {
    /**
     * Computes a digest of both texts.
     *
     * @return SHA-256 in lower-case hexadecimal
     */
    public String digest() {
        MessageDigest sha = sha256();
        byte[] inventory = inventoryText.getBytes(StandardCharsets.UTF_8);
        sha.update(Integer.toString(inventory.length).getBytes(StandardCharsets.US_ASCII));
        sha.update((byte) '\n');
        sha.update(inventory);
        sha.update(rulesText.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(sha.digest());
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            // Each Java platform provides SHA-256.
            throw new IllegalStateException(e);
        }
    }
}
