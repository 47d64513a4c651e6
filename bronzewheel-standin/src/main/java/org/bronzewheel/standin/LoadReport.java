package org.bronzewheel.standin;

/**
 * The load of an upstream at the time of its last report.
 *
 * @param inFlight calls being worked on
 * @param queued calls that wait
 * @param sequence the number of the report, grows with each
 */
record LoadReport(int inFlight, int queued, long sequence) {}
