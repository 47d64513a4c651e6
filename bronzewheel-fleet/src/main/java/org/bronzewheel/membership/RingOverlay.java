package org.bronzewheel.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import org.bronzewheel.vm.Vm;

/**
 * The peers that one router probes and exchanges gossip with.
 *
 * <p>Small fleets are fully meshed. In larger ones all routers are placed on several rings, each
 * with a different order, and on one ring of their failure domain, which stays connected while the
 * domain is partitioned from the others. Each router probes its successor on each ring, so it is
 * itself probed by one predecessor on each ring. Successors and predecessors are its neighbours; an
 * update reaches the whole fleet in a number of hops that grows logarithmically with its size.
 *
 * @param targets VMs of the routers to probe
 * @param neighbours VMs of the routers to send gossip to, including the targets
 */
record RingOverlay(List<String> targets, List<String> neighbours) {
    private static final int FULL_MESH_ROUTERS = 9;
    private static final int RINGS = 3;

    private record Place(long score, String vmId) {}

    static RingOverlay of(Vm self, Collection<Vm> routers) {
        List<Vm> all = new ArrayList<>(routers);
        all.removeIf(vm -> vm.vmId().equals(self.vmId()));
        if (all.size() < FULL_MESH_ROUTERS) {
            List<String> others = all.stream().map(Vm::vmId).toList();
            return new RingOverlay(others, others);
        }
        all.add(self);
        Set<String> targets = new LinkedHashSet<>();
        Set<String> neighbours = new LinkedHashSet<>();
        BiConsumer<String, String> add =
                (before, after) -> {
                    targets.add(after);
                    neighbours.add(after);
                    neighbours.add(before);
                };
        for (int ring = 0; ring < RINGS; ring++) {
            addRing("ring-" + ring, self.vmId(), all, add);
        }
        List<Vm> domain =
                all.stream().filter(vm -> vm.failureDomain().equals(self.failureDomain())).toList();
        addRing("domain-ring", self.vmId(), domain, add);
        return new RingOverlay(List.copyOf(targets), List.copyOf(neighbours));
    }

    private static void addRing(
            String key, String selfVmId, List<Vm> members, BiConsumer<String, String> add) {
        if (members.size() < 2) {
            return;
        }
        List<Place> ring =
                members.stream()
                        .map(vm -> new Place(RendezvousHash.score(key, vm.vmId()), vm.vmId()))
                        .sorted(Comparator.comparing(Place::score).thenComparing(Place::vmId))
                        .toList();
        int own = ring.indexOf(new Place(RendezvousHash.score(key, selfVmId), selfVmId));
        int size = ring.size();
        String before = ring.get((own + size - 1) % size).vmId();
        String after = ring.get((own + 1) % size).vmId();
        add.accept(before, after);
    }
}
