package org.bronzewheel.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.bronzewheel.vm.Vm;

/** Selects at random the routers that are asked to probe a target. */
final class HelperSelector {
    private static final int HELPERS = 3;

    private final String selfVmId;
    private final RandomGenerator random;

    HelperSelector(String selfVmId, RandomGenerator random) {
        this.selfVmId = selfVmId;
        this.random = random;
    }

    /**
     * Selects reachable routers, preferably of different failure domains, that of the target first.
     */
    Set<String> select(List<Vm> routers, String targetVmId, Predicate<String> isSuspect) {
        List<Vm> candidates = new ArrayList<>(routers);
        candidates.removeIf(
                vm ->
                        vm.vmId().equals(targetVmId)
                                || vm.vmId().equals(selfVmId)
                                || isSuspect.test(vm.vmId()));
        Collections.shuffle(candidates, new Random(random.nextLong()));
        String targetDomain = domainOf(routers, targetVmId);
        candidates.sort(Comparator.comparing((Vm vm) -> !vm.failureDomain().equals(targetDomain)));
        Set<String> domains = new LinkedHashSet<>();
        Set<String> chosen = new LinkedHashSet<>();
        candidates.stream()
                .filter(vm -> domains.add(vm.failureDomain()))
                .limit(HELPERS)
                .forEach(vm -> chosen.add(vm.vmId()));
        candidates.stream()
                .map(Vm::vmId)
                .filter(vmId -> !chosen.contains(vmId))
                .limit(HELPERS - (long) chosen.size())
                .toList()
                .forEach(chosen::add);
        return chosen;
    }

    private static String domainOf(List<Vm> routers, String vmId) {
        return routers.stream()
                .filter(vm -> vm.vmId().equals(vmId))
                .map(Vm::failureDomain)
                .findFirst()
                .orElse("");
    }
}
