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
 * The peers that one router keeps in touch with.
 *
 * <p>Small fleets are fully meshed. In larger ones all routers stand on a few rings, each in an
 * order of its own, and on one ring of their failure domain, which stays whole while the domain is
 * cut off. Each router probes its successor on each ring, so that each is probed by as many;
 * successors and predecessors are its neighbours, and news crosses the fleet in a number of hops
 * that grows with the logarithm of its size.
 *
 * @param targets VMs of the routers to probe
 * @param neighbours VMs of the routers to tell news, the targets among them
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
