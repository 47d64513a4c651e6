package org.bronzewheel.claim;

import java.util.List;

/**
 * What a router told of the lists that it uses.
 *
 * @param incarnation its incarnation
 * @param askedNanos when it was asked, by the own monotonic clock
 * @param startedNanos the latest time at which it may have started, by the own monotonic clock
 * @param lists the newest lists used, by growing revision
 * @param knownRevisions all lists that it knows and that may be in use
 * @param inheritedSeats VMs whose seats it has taken over
 * @param frozen whether it has handed its own seat over
 */
record Evidence(
        long incarnation,
        long askedNanos,
        long startedNanos,
        List<ListUseStart> lists,
        List<Long> knownRevisions,
        List<String> inheritedSeats,
        boolean frozen) {
    /** Returns the revision in use, 0 before the first list. */
    long revision() {
        return lists.isEmpty() ? 0 : lists.get(lists.size() - 1).revision();
    }

    /** Tells whether a list or a newer one has been in use since before a time. */
    boolean usedSinceBefore(long revision, long timeNanos) {
        return lists.stream()
                .anyMatch(list -> list.revision() >= revision && list.sinceNanos() - timeNanos < 0);
    }
}
