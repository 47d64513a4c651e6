package org.bronzewheel.vm;

/**
 * A VM in the list that the platform publishes.
 *
 * @param vmId the id, unique among VMs, of lower-case letters, digits and hyphens
 * @param role whether it runs a router or an upstream
 * @param state whether it is in service or leaving
 * @param failureDomain its failure domain
 * @param peerAddress {@code host:port} of the router's peer port, empty for upstreams
 * @param httpAddress {@code host:port} of the router's HTTP port for callers, empty for upstreams
 */
public record Vm(
        String vmId,
        VmRole role,
        VmState state,
        String failureDomain,
        String peerAddress,
        String httpAddress) {}
