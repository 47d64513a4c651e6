package org.bronzewheel.membership;

import org.bronzewheel.vm.Vm;

/**
 * A listed router with its observed state.
 *
 * @param vm its entry in the VM list
 * @param health its observed health
 * @param incarnation the newest incarnation seen, 0 where none was seen
 * @param listRevision the revision of the VM list it uses, 0 where unknown
 * @param configurationRevision the revision of the configuration it uses, 0 where unknown
 */
public record Member(
        Vm vm,
        MemberHealth health,
        long incarnation,
        long listRevision,
        long configurationRevision) {}
