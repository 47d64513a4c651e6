package org.bronzewheel.transport;

/**
 * A router process on a VM.
 *
 * @param vmId the VM
 * @param incarnation a number that differs for each start of the process
 */
public record Peer(String vmId, long incarnation) {}
