package org.bronzewheel.vm;

import java.util.List;
import java.util.Optional;

/**
 * The published list of VMs.
 *
 * @param revision the revision, increased by one with each change
 * @param vms live and leaving VMs, ordered by id
 */
public record VmList(long revision, List<Vm> vms) {
    /** The list before any VM is known. */
    public static final VmList EMPTY = new VmList(0, List.of());

    /**
     * Returns the VMs that run routers.
     *
     * @return live and leaving routers, ordered by id
     */
    public List<Vm> routers() {
        return vms.stream().filter(vm -> vm.role() == VmRole.ROUTER).toList();
    }

    /**
     * Finds a VM by id.
     *
     * @param vmId the id
     * @return the VM, or empty
     */
    public Optional<Vm> find(String vmId) {
        return vms.stream().filter(vm -> vm.vmId().equals(vmId)).findFirst();
    }
}
