package org.bronzewheel.measure;

/**
 * Upstreams of a stage service that leave for good in the middle of a run.
 *
 * @param service the stage service
 * @param upstreams how many of its upstreams leave
 * @param atMillis when they leave, in milliseconds from the first request
 */
record StageLoss(String service, int upstreams, long atMillis) {}
