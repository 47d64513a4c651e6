package org.bronzewheel.measure;

/**
 * A time in which more requests of one route arrive.
 *
 * @param route the name of the route
 * @param factor its rate against the usual one
 * @param fromMillis the begin, in milliseconds from the first request
 * @param millis the length, in milliseconds
 */
record StageBurst(String route, double factor, long fromMillis, long millis) {}
