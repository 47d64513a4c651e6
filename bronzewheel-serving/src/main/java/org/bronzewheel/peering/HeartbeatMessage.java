package org.bronzewheel.peering;

import java.util.List;

/**
 * A sign of life.
 *
 * @param sender the sender's own
 * @param others what the sender heard of others
 */
public record HeartbeatMessage(Heartbeat sender, List<Heartbeat> others) {}
