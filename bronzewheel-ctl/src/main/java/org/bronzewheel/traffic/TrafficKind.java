package org.bronzewheel.traffic;

/**
 * A kind of request in a mix.
 *
 * @param requestClass the name of the request class
 * @param pipeline the name of the pipeline
 * @param weight its share of the mix, at least 1
 */
public record TrafficKind(String requestClass, String pipeline, int weight) {}
