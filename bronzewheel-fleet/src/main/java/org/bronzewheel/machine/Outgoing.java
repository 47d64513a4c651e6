package org.bronzewheel.machine;

/**
 * A message that is to be sent.
 *
 * @param toVmId the VM of the receiver
 * @param message the message
 * @param <M> the type of messages
 */
public record Outgoing<M>(String toVmId, M message) {}
