package org.bronzewheel.budget;

/**
 * What observations of latency are kept by.
 *
 * @param pipeline the name of the pipeline
 * @param stage the name of the stage
 * @param requestClass the name of the request class
 */
public record StageKey(String pipeline, String stage, String requestClass) {}
