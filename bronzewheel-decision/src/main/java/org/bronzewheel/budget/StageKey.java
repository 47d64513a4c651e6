package org.bronzewheel.budget;

/**
 * The key by which latency observations are grouped.
 *
 * @param pipeline the name of the pipeline
 * @param stage the name of the stage
 * @param requestClass the name of the request class
 */
public record StageKey(String pipeline, String stage, String requestClass) {}
