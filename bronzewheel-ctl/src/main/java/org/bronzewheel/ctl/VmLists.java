package org.bronzewheel.ctl;

import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.inventory.Inventory;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmRole;
import org.bronzewheel.vm.VmState;

/** Builds the VM list that fits an inventory. */
public final class VmLists {
    private VmLists() {}

    /**
     * Builds a list of live VMs.
     *
     * @param inventory the upstreams
     * @param routers the routers
     * @return a VM for each upstream and the routers
     */
    public static List<Vm> of(Inventory inventory, List<Vm> routers) {
        List<Vm> vms = new ArrayList<>(routers);
        for (Pool pool : inventory.pools()) {
            for (Upstream upstream : pool.upstreams()) {
                vms.add(
                        new Vm(
                                upstream.vmId(),
                                VmRole.UPSTREAM,
                                VmState.LIVE,
                                upstream.failureDomain(),
                                "",
                                ""));
            }
        }
        return vms;
    }
}
