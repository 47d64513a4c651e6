package org.bronzewheel.machine;

/**
 * A message to be sent.
 *
 * @param toVmId the id of the receiving VM
 * @param message the message
 * @param <M> the type of messages
 */
public record Outgoing<M>(String toVmId, M message) {}
