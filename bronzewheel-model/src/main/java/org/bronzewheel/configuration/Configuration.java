package org.bronzewheel.configuration;

import org.bronzewheel.inventory.Inventory;
import org.bronzewheel.rules.Rules;

/**
 * An accepted configuration.
 *
 * @param revision the revision of its document
 * @param digest the digest of its document
 * @param inventory the operators' asset register
 * @param rules the operators' rules
 */
public record Configuration(long revision, String digest, Inventory inventory, Rules rules) {}
