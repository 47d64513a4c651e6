package org.bronzewheel.claim;

/**
 * The process that held a seat first.
 *
 * @param seatVmId the seat
 * @param incarnation the incarnation of that process
 */
record SeatOwner(String seatVmId, long incarnation) {}
