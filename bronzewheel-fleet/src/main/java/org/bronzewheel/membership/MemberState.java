package org.bronzewheel.membership;

/**
 * The state of one router as exchanged between routers.
 *
 * @param vmId its VM
 * @param incarnation number of its process, 0 where none was seen; a later process has a higher
 *     number
 * @param version incremented by the router itself with each change of its state and with each
 *     heartbeat
 * @param refutation incremented each time the router refutes a suspicion
 * @param suspect whether it was found unreachable since its last refutation
 * @param leaving whether it has announced that it is leaving
 * @param listRevision the revision of the VM list it uses
 * @param configurationRevision the revision of the configuration it uses
 */
record MemberState(
        String vmId,
        long incarnation,
        long version,
        long refutation,
        boolean suspect,
        boolean leaving,
        long listRevision,
        long configurationRevision) {
    static MemberState unseen(String vmId) {
        return new MemberState(vmId, 0, 0, 0, false, false, 0, 0);
    }

    static MemberState started(String vmId, long incarnation) {
        return new MemberState(vmId, incarnation, 1, 0, false, false, 0, 0);
    }

    /** Merges two states of one router; the operation is commutative and idempotent. */
    MemberState merge(MemberState other) {
        if (other.incarnation != incarnation) {
            return other.incarnation > incarnation ? other : this;
        }
        MemberState newer = other.version > version ? other : this;
        long maxRefutation = Math.max(refutation, other.refutation);
        boolean suspected =
                (suspect && refutation == maxRefutation)
                        || (other.suspect && other.refutation == maxRefutation);
        return new MemberState(
                vmId,
                incarnation,
                newer.version,
                maxRefutation,
                suspected,
                newer.leaving,
                newer.listRevision,
                newer.configurationRevision);
    }

    /** Tells whether the difference is to be sent to other routers with priority. */
    boolean hasUrgentChange(MemberState other) {
        return incarnation != other.incarnation
                || refutation != other.refutation
                || suspect != other.suspect
                || leaving != other.leaving;
    }

    MemberState withSuspect() {
        return new MemberState(
                vmId,
                incarnation,
                version,
                refutation,
                true,
                leaving,
                listRevision,
                configurationRevision);
    }

    MemberState refuted(long newRefutation) {
        return new MemberState(
                vmId,
                incarnation,
                version + 1,
                newRefutation,
                false,
                leaving,
                listRevision,
                configurationRevision);
    }

    MemberState withOwnStatus(boolean isLeaving, long list, long configuration) {
        return new MemberState(
                vmId,
                incarnation,
                version + 1,
                refutation,
                suspect,
                isLeaving,
                list,
                configuration);
    }
}
