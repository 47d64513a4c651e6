package org.bronzewheel.load;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.stream.IntStream;
import org.bronzewheel.machine.Step;
import org.bronzewheel.machine.VirtualNetwork;
import org.bronzewheel.membership.Member;
import org.bronzewheel.membership.MemberHealth;
import org.bronzewheel.membership.MembershipView;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmList;
import org.bronzewheel.vm.VmRole;
import org.bronzewheel.vm.VmState;

/** Routers that share one limit in virtual time. */
final class LimitFixture {
    static final int ROUTERS = 5;
    static final String LIMIT = "workspace/w";
    static final double LIMIT_PER_SECOND = 100;
    static final LimitSettings SETTINGS = LimitSettings.DEFAULT;

    final VirtualNetwork network;
    final Map<String, LimitMachine> machines = new LinkedHashMap<>();

    LimitFixture(long seed, Set<LimitRule> rules) {
        network = new VirtualNetwork(seed);
        for (int i = 0; i < ROUTERS; i++) {
            machines.put(vmId(i), new LimitMachine(SETTINGS, network.nowNanos(), rules));
        }
        machines.keySet().forEach(vmId -> setView(vmId, Set.of()));
        machines.forEach(
                (vmId, machine) ->
                        apply(
                                vmId,
                                now -> machine.setLimits(Map.of(LIMIT, LIMIT_PER_SECOND), now)));
        machines.keySet().forEach(this::tick);
    }

    static String vmId(int index) {
        return "vm-" + index;
    }

    void setView(String vmId, Set<String> suspects) {
        List<Member> members = new ArrayList<>();
        IntStream.range(0, ROUTERS)
                .mapToObj(LimitFixture::vmId)
                .forEach(id -> members.add(member(id, suspects.contains(id))));
        List<Vm> vms = members.stream().map(Member::vm).toList();
        MembershipView view = new MembershipView(new VmList(1, vms), members);
        apply(vmId, now -> machines.get(vmId).setView(view, now));
    }

    void setDemand(String vmId, double perSecond) {
        apply(vmId, now -> machines.get(vmId).setDemand(LIMIT, perSecond, now));
    }

    double allowed(String vmId) {
        return machines.get(vmId).allowedPerSecond(LIMIT, network.nowNanos());
    }

    /** Returns what all running routers may use in total. */
    double totalAllowed() {
        return machines.keySet().stream()
                .filter(vmId -> !network.pausedVms().contains(vmId))
                .mapToDouble(this::allowed)
                .sum();
    }

    private static Member member(String vmId, boolean suspect) {
        Vm vm = new Vm(vmId, VmRole.ROUTER, VmState.LIVE, "d", "", "");
        return new Member(vm, suspect ? MemberHealth.SUSPECT : MemberHealth.ALIVE, 1, 1, 1);
    }

    private void tick(String vmId) {
        network.runOn(vmId, () -> apply(vmId, machines.get(vmId)::tick));
        network.after(SETTINGS.tickMillis(), () -> tick(vmId));
    }

    private void apply(String vmId, LongFunction<Step<LimitMessage, LimitShare>> input) {
        input.apply(network.nowNanos())
                .messages()
                .forEach(
                        out ->
                                network.deliver(
                                        vmId,
                                        out.toVmId(),
                                        () -> receive(vmId, out.toVmId(), out.message())));
    }

    private void receive(String from, String to, LimitMessage message) {
        LimitMessage copy = LimitCodec.decode(LimitCodec.encode(message));
        apply(to, now -> machines.get(to).receive(new Peer(from, 1), copy, now));
    }
}
