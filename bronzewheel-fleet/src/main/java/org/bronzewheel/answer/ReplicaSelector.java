package org.bronzewheel.answer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bronzewheel.membership.RendezvousHash;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmList;

/** Selects the routers that hold replicas of an answer, by rendezvous hashing of the request id. */
final class ReplicaSelector {
    private ReplicaSelector() {}

    /**
     * Orders the routers by preference: first one router of each other failure domain, then the
     * remaining routers of those domains, and last those in the failure domain of the origin.
     */
    static List<String> rank(RequestId requestId, VmList list) {
        String key = requestId.toString();
        String originDomain = list.find(requestId.vmId()).map(Vm::failureDomain).orElse("");
        List<Vm> candidates =
                list.routers().stream()
                        .filter(vm -> !vm.vmId().equals(requestId.vmId()))
                        .sorted(
                                Comparator.comparingLong(
                                                (Vm vm) -> RendezvousHash.score(key, vm.vmId()))
                                        .thenComparing(Vm::vmId))
                        .toList();
        Set<String> usedDomains = new HashSet<>(Set.of(originDomain));
        List<String> first = new ArrayList<>();
        List<String> second = new ArrayList<>();
        List<String> last = new ArrayList<>();
        for (Vm vm : candidates) {
            if (vm.failureDomain().equals(originDomain)) {
                last.add(vm.vmId());
            } else if (usedDomains.add(vm.failureDomain())) {
                first.add(vm.vmId());
            } else {
                second.add(vm.vmId());
            }
        }
        first.addAll(second);
        first.addAll(last);
        return first;
    }
}
