package org.bronzewheel.inventory;

import java.util.List;

/**
 * A region with its failure domains.
 *
 * @param name the name, unique among regions
 * @param failureDomains the names of its failure domains, unique across regions
 */
public record Region(String name, List<String> failureDomains) {}
