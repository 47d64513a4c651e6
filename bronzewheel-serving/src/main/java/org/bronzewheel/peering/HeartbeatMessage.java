package org.bronzewheel.peering;

import java.util.List;

/**
 * A heartbeat message.
 *
 * @param sender the sender's own heartbeat
 * @param others heartbeats of other routers that the sender forwards
 */
public record HeartbeatMessage(Heartbeat sender, List<Heartbeat> others) {}
