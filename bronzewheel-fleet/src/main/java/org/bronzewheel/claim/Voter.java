package org.bronzewheel.claim;

/**
 * A router that is entitled to vote.
 *
 * @param vmId the VM id of the router
 * @param failureDomain its failure domain
 */
public record Voter(String vmId, String failureDomain) {}
