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

/** A chooser of the routers that hold copies of an answer, by rendezvous on the request id. */
final class ReplicaSelector {
    private ReplicaSelector() {}

    /**
     * Orders the routers by preference: those in failure domains of their own come first, those in
     * the holder's failure domain last.
     */
    static List<String> rank(RequestId requestId, VmList list) {
        String item = requestId.toString();
        String homeDomain = list.find(requestId.vmId()).map(Vm::failureDomain).orElse("");
        List<Vm> candidates =
                list.routers().stream()
                        .filter(vm -> !vm.vmId().equals(requestId.vmId()))
                        .sorted(
                                Comparator.comparingLong(
                                                (Vm vm) -> RendezvousHash.score(item, vm.vmId()))
                                        .thenComparing(Vm::vmId))
                        .toList();
        Set<String> usedDomains = new HashSet<>(Set.of(homeDomain));
        List<String> first = new ArrayList<>();
        List<String> second = new ArrayList<>();
        List<String> last = new ArrayList<>();
        for (Vm vm : candidates) {
            if (vm.failureDomain().equals(homeDomain)) {
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
