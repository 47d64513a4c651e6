package org.bronzewheel.stages;

/**
 * A result that its maker keeps until it is freed.
 *
 * @param service the service of its maker
 * @param handle the name by which others fetch it
 * @param makerId the upstream that made it
 * @param failureDomain the failure domain of the maker
 * @param bytes the approximate size in bytes
 */
public record StageResult(
        String service, String handle, String makerId, String failureDomain, long bytes) {}
