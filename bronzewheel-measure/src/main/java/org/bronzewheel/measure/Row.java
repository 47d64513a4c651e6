package org.bronzewheel.measure;

import java.util.Map;

/**
 * The figures of one run.
 *
 * @param profile the name of the profile
 * @param variant the name of the variant
 * @param load the load relative to capacity
 * @param fault the fault
 * @param figures figures by name, in the order of the table
 */
public record Row(
        String profile, String variant, double load, String fault, Map<String, Double> figures) {}
