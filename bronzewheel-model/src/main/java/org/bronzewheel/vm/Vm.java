package org.bronzewheel.vm;

/**
 * A VM as the platform publishes it.
 *
 * @param vmId the id, unique among VMs, of lower-case letters, digits and hyphens
 * @param role what it is for
 * @param state live or leaving
 * @param failureDomain its failure domain
 * @param peerAddress {@code host:port} of the router's peer port, empty for upstreams
 * @param httpAddress {@code host:port} of the router's callers' port, empty for upstreams
 */
public record Vm(
        String vmId,
        VmRole role,
        VmState state,
        String failureDomain,
        String peerAddress,
        String httpAddress) {}
