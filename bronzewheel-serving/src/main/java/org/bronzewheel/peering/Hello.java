package org.bronzewheel.peering;

import java.util.List;

/**
 * A sign of life.
 *
 * @param vmId the VM of the sender
 * @param incarnation distinct for each start of its process, larger for a later one
 * @param leaving whether the sender stops
 * @param knownVmIds the VMs that the sender knows
 */
public record Hello(String vmId, long incarnation, boolean leaving, List<String> knownVmIds) {}
