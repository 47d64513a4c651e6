package org.bronzewheel.stages;

/**
 * A result that an upstream stores until it is freed or expires.
 *
 * @param service the service of the upstream
 * @param handle the handle by which other upstreams fetch it
 * @param makerId the id of the upstream that produced and stores it
 * @param failureDomain the failure domain of that upstream
 * @param bytes the approximate size in bytes
 */
public record StageResult(
        String service, String handle, String makerId, String failureDomain, long bytes) {}
