package org.bronzewheel.upstreams;

/**
 * The load that an upstream reports in an answer.
 *
 * @param running the requests that it runs
 * @param waiting the requests that wait there
 * @param slots the requests that it can run at once
 * @param slowness how long work takes there now: 1 as usual, 2 for twice the time; 1 if it does not
 *     report that
 */
public record ReportedLoad(int running, int waiting, int slots, double slowness) {}
