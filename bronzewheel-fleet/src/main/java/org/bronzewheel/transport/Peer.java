package org.bronzewheel.transport;

/**
 * One run of a router's process on a VM.
 *
 * @param vmId the VM
 * @param incarnation distinct for each start of the process
 */
public record Peer(String vmId, long incarnation) {}
