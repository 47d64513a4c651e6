package org.bronzewheel.claim;

import java.util.List;

/**
 * The VM lists that a router has reported to use.
 *
 * @param incarnation the incarnation of the router
 * @param pingSentNanos when the ping was sent, by the monotonic clock of this router
 * @param startedNanos the latest time at which it may have started, by the monotonic clock of this
 *     router
 * @param lists the latest lists used, in ascending order of revision
 * @param knownRevisions revisions of all lists that it knows and that may be in use
 * @param inheritedSeats VMs whose seats it has inherited
 * @param frozen whether it has handed over its own seat
 */
record Evidence(
        long incarnation,
        long pingSentNanos,
        long startedNanos,
        List<ListUseStart> lists,
        List<Long> knownRevisions,
        List<String> inheritedSeats,
        boolean frozen) {
    /** Returns the revision in use, or 0 if the router has no list yet. */
    long revision() {
        return lists.isEmpty() ? 0 : lists.get(lists.size() - 1).revision();
    }

    /** Returns whether the list or a newer one was already in use before the given time. */
    boolean usedSinceBefore(long revision, long timeNanos) {
        return lists.stream()
                .anyMatch(list -> list.revision() >= revision && list.sinceNanos() - timeNanos < 0);
    }
}
