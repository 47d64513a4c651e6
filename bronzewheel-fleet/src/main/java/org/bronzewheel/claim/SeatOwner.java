package org.bronzewheel.claim;

/**
 * The process that a seat originally belongs to.
 *
 * @param seatVmId the seat
 * @param incarnation the incarnation of that process
 */
record SeatOwner(String seatVmId, long incarnation) {}
