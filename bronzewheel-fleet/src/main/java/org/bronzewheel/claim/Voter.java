package org.bronzewheel.claim;

/**
 * A router that can vote.
 *
 * @param vmId its VM
 * @param failureDomain its failure domain
 */
public record Voter(String vmId, String failureDomain) {}
