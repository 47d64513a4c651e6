package org.bronzewheel.membership;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.bronzewheel.machine.Outgoing;
import org.bronzewheel.machine.StateMachine;
import org.bronzewheel.machine.Step;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmList;
import org.bronzewheel.vm.VmRole;
import org.bronzewheel.vm.VmState;

/**
 * A failure detector in which each router probes only part of the fleet, as a state machine.
 *
 * <p>Each router probes a few others and asks further routers to probe a target that does not
 * acknowledge. A target becomes a suspect only if neither direct nor indirect probes reach it
 * several times in a row. It becomes alive again by refuting the suspicion, which shows that
 * messages pass in both directions. A router that was paused, or that receives no messages, spreads
 * no suspicions.
 */
final class DetectorMachine implements StateMachine<DetectorMessage, MembershipView> {
    private static final long GOSSIP_INTERVAL_MILLIS = 200;
    private static final long VIEW_INTERVAL_MILLIS = 1_000;
    private static final int PAUSE_TICKS = 10;

    private record IndirectProbe(
            String requester, long sequence, String target, long deadlineNanos) {}

    private final MembershipSettings settings;
    private final RandomGenerator random;
    private final HelperSelector helpers;
    private final Set<DetectorRule> rules;
    private final MemberTable table;
    private final String selfVmId;
    private final Map<String, ProbeTarget> targets = new LinkedHashMap<>();
    private final Map<Long, IndirectProbe> indirectProbes = new HashMap<>();
    private final Map<String, Long> lastHeardNanos = new HashMap<>();
    private VmList list = VmList.EMPTY;
    private List<Vm> routers = List.of();
    private RingOverlay overlay = new RingOverlay(List.of(), List.of());
    private MembershipView view = MembershipView.EMPTY;
    private long nextSequence = 1;
    private boolean started;
    private long startedNanos;
    private long lastTimeNanos;
    private long roundStartNanos;
    private long nextRoundNanos;
    private long nextHeartbeatNanos;
    private long nextGossipNanos;
    private long nextViewNanos;
    private boolean gossipDue;
    private boolean viewChanged;
    private boolean publishViewNow;
    private List<Outgoing<DetectorMessage>> messages = new ArrayList<>();

    DetectorMachine(Peer self, MembershipSettings settings, RandomGenerator random) {
        this(self, settings, random, EnumSet.allOf(DetectorRule.class));
    }

    DetectorMachine(
            Peer self,
            MembershipSettings settings,
            RandomGenerator random,
            Set<DetectorRule> rules) {
        this.rules = rules;
        this.settings = settings;
        this.random = random;
        helpers = new HelperSelector(self.vmId(), random);
        selfVmId = self.vmId();
        table = new MemberTable(MemberState.started(self.vmId(), self.incarnation()));
    }

    MembershipView view() {
        return view;
    }

    /** Applies a VM list; ignores one whose revision is not higher. */
    Step<DetectorMessage, MembershipView> setList(VmList newList, long nowNanos) {
        observeTime(nowNanos);
        if (newList.revision() <= list.revision()) {
            return flush(nowNanos);
        }
        list = newList;
        routers = newList.routers();
        List<String> others =
                routers.stream().map(Vm::vmId).filter(id -> !id.equals(selfVmId)).toList();
        table.setListed(others, nowNanos);
        lastHeardNanos.keySet().retainAll(others);
        overlay = RingOverlay.of(selfVm(), routers);
        targets.keySet().retainAll(overlay.targets());
        overlay.targets().forEach(id -> targets.computeIfAbsent(id, ProbeTarget::new));
        MemberState own = table.own();
        table.setOwn(
                own.withOwnStatus(own.leaving(), list.revision(), own.configurationRevision()));
        publishViewNow = true;
        return flush(nowNanos);
    }

    Step<DetectorMessage, MembershipView> setConfigurationRevision(long revision, long nowNanos) {
        observeTime(nowNanos);
        MemberState own = table.own();
        table.setOwn(own.withOwnStatus(own.leaving(), own.listRevision(), revision));
        viewChanged = true;
        return flush(nowNanos);
    }

    /** Announces to all routers, not only to the neighbours, that this one is leaving. */
    Step<DetectorMessage, MembershipView> announceLeaving(long nowNanos) {
        observeTime(nowNanos);
        MemberState own = table.own();
        table.setOwn(own.withOwnStatus(true, own.listRevision(), own.configurationRevision()));
        publishViewNow = true;
        for (Vm router : routers) {
            if (!router.vmId().equals(selfVmId)) {
                send(router.vmId(), new DetectorMessage.Gossip(List.of(table.own())));
            }
        }
        return flush(nowNanos);
    }

    @Override
    public Step<DetectorMessage, MembershipView> receive(
            Peer from, DetectorMessage message, long nowNanos) {
        observeTime(nowNanos);
        lastHeardNanos.put(from.vmId(), nowNanos);
        message.states().forEach(state -> merge(state, nowNanos));
        if (!rules.contains(DetectorRule.WAIT_FOR_REFUTATION)) {
            clear(from.vmId());
        }
        if (message instanceof DetectorMessage.Probe probe) {
            send(
                    from.vmId(),
                    new DetectorMessage.Ack(probe.sequence(), selfVmId, states(from.vmId())));
        } else if (message instanceof DetectorMessage.Ack ack) {
            acknowledge(ack);
        } else if (message instanceof DetectorMessage.ProbeRequest request) {
            probeFor(from.vmId(), request, nowNanos);
        }
        return flush(nowNanos);
    }

    @Override
    public Step<DetectorMessage, MembershipView> tick(long nowNanos) {
        observeTime(nowNanos);
        expireIndirectProbes(nowNanos);
        if (nowNanos - nextHeartbeatNanos >= 0) {
            advanceHeartbeat(nowNanos);
        }
        if (nowNanos - nextRoundNanos >= 0) {
            endRound(nowNanos);
            beginRound(nowNanos);
        } else if (nowNanos - roundStartNanos >= nanos(settings.probeTimeoutMillis())) {
            requestIndirectProbes();
        }
        if (gossipDue && nowNanos - nextGossipNanos >= 0) {
            sendGossip(nowNanos);
        }
        if (viewChanged && nowNanos - nextViewNanos >= 0) {
            publishViewNow = true;
        }
        return flush(nowNanos);
    }

    /**
     * Records the current time; a long gap since the last call means that this process was paused.
     */
    private void observeTime(long nowNanos) {
        if (!started) {
            started = true;
            startedNanos = nowNanos;
            nextRoundNanos = nowNanos + (long) (random.nextDouble() * interval());
            roundStartNanos = nowNanos;
            nextHeartbeatNanos = nowNanos;
            nextGossipNanos = nowNanos;
            nextViewNanos = nowNanos;
            lastTimeNanos = nowNanos;
        }
        long gapNanos = nowNanos - lastTimeNanos;
        if (rules.contains(DetectorRule.FORGIVE_OWN_PAUSE)
                && gapNanos > PAUSE_TICKS * nanos(settings.tickMillis())) {
            targets.values().forEach(ProbeTarget::reset);
            indirectProbes.clear();
            table.excludePause(gapNanos);
            startedNanos = nowNanos;
        }
        lastTimeNanos = nowNanos;
    }

    private void merge(MemberState state, long nowNanos) {
        if (state.vmId().equals(selfVmId)) {
            refuteIfSuspected(state);
            return;
        }
        MemberState before = table.merge(state, nowNanos);
        if (before == null) {
            return;
        }
        MemberState after = table.get(state.vmId());
        if (after.hasUrgentChange(before)) {
            publishViewNow = true;
            gossipDue = true;
            if (!after.suspect() && targets.containsKey(state.vmId())) {
                targets.get(state.vmId()).reset();
            }
        } else if (after.listRevision() != before.listRevision()
                || after.configurationRevision() != before.configurationRevision()) {
            viewChanged = true;
        }
    }

    private void clear(String vmId) {
        if (table.clearSuspicion(vmId)) {
            publishViewNow = true;
        }
    }

    private void refuteIfSuspected(MemberState state) {
        MemberState own = table.own();
        boolean current =
                state.incarnation() == own.incarnation() && state.refutation() >= own.refutation();
        if (current && state.suspect()) {
            table.setOwn(own.refuted(state.refutation() + 1));
            gossipDue = true;
        }
    }

    private void acknowledge(DetectorMessage.Ack ack) {
        IndirectProbe indirectProbe = indirectProbes.remove(ack.sequence());
        if (indirectProbe != null) {
            send(
                    indirectProbe.requester(),
                    new DetectorMessage.Ack(
                            indirectProbe.sequence(),
                            indirectProbe.target(),
                            states(indirectProbe.requester())));
            return;
        }
        ProbeTarget target = targets.get(ack.target());
        if (target != null) {
            target.acknowledge(ack.sequence());
        }
    }

    private void probeFor(String requester, DetectorMessage.ProbeRequest request, long nowNanos) {
        long sequence = nextSequence++;
        long deadlineNanos = nowNanos + nanos(settings.probeTimeoutMillis());
        indirectProbes.put(
                sequence,
                new IndirectProbe(requester, request.sequence(), request.target(), deadlineNanos));
        send(request.target(), new DetectorMessage.Probe(sequence, states(request.target())));
    }

    private void expireIndirectProbes(long nowNanos) {
        Iterator<IndirectProbe> open = indirectProbes.values().iterator();
        while (open.hasNext()) {
            IndirectProbe indirectProbe = open.next();
            if (nowNanos - indirectProbe.deadlineNanos() >= 0) {
                open.remove();
                send(
                        indirectProbe.requester(),
                        new DetectorMessage.ProbeFailed(
                                indirectProbe.sequence(),
                                indirectProbe.target(),
                                List.of(table.own())));
            }
        }
    }

    private void advanceHeartbeat(long nowNanos) {
        nextHeartbeatNanos = nowNanos + nanos(settings.heartbeatMillis());
        MemberState own = table.own();
        table.setOwn(
                own.withOwnStatus(own.leaving(), own.listRevision(), own.configurationRevision()));
        // Members whose heartbeats stop become suspect by timeout, without any message that would
        // update the view.
        viewChanged = true;
    }

    private void beginRound(long nowNanos) {
        roundStartNanos = nowNanos;
        nextRoundNanos = nowNanos + (long) interval();
        for (ProbeTarget target : targets.values()) {
            target.begin(nextSequence++);
            send(
                    target.vmId(),
                    new DetectorMessage.Probe(target.sequence(), states(target.vmId())));
        }
    }

    private void endRound(long nowNanos) {
        for (ProbeTarget target : targets.values()) {
            if (rules.contains(DetectorRule.DOUBT_SELF) && !heardOtherRouter(target)) {
                target.skip();
            } else if (target.end(settings.missedProbes(), nowNanos)) {
                suspect(target, nowNanos);
            }
        }
        if (isIsolated(nowNanos)) {
            viewChanged = true;
        }
    }

    /**
     * A probe round without a message from any other router does not count as a missed probe, as
     * the fault may be this router's own.
     */
    private boolean heardOtherRouter(ProbeTarget target) {
        return lastHeardNanos.entrySet().stream()
                .anyMatch(
                        heard ->
                                !heard.getKey().equals(target.vmId())
                                        && heard.getValue() - roundStartNanos > 0);
    }

    private void suspect(ProbeTarget target, long nowNanos) {
        MemberState state = table.get(target.vmId());
        if (state.suspect()) {
            return;
        }
        target.recordSuspicion(nowNanos);
        merge(state.withSuspect(), nowNanos);
    }

    private void requestIndirectProbes() {
        for (ProbeTarget target : targets.values()) {
            if (rules.contains(DetectorRule.ASK_HELPERS) && target.needsHelp()) {
                for (String helper : helpers.select(routers, target.vmId(), this::isSuspect)) {
                    send(
                            helper,
                            new DetectorMessage.ProbeRequest(
                                    target.sequence(), target.vmId(), states(helper)));
                }
            }
        }
    }

    private boolean isSuspect(String vmId) {
        return table.get(vmId).suspect();
    }

    private void sendGossip(long nowNanos) {
        gossipDue = false;
        nextGossipNanos = nowNanos + nanos(GOSSIP_INTERVAL_MILLIS);
        for (String neighbour : overlay.neighbours()) {
            send(neighbour, new DetectorMessage.Gossip(states(neighbour)));
        }
    }

    private boolean isIsolated(long nowNanos) {
        long lastNanos = startedNanos;
        for (long heard : lastHeardNanos.values()) {
            lastNanos = heard - lastNanos > 0 ? heard : lastNanos;
        }
        return !targets.isEmpty()
                && nowNanos - lastNanos > (long) ((settings.missedProbes() + 1) * interval());
    }

    private MemberHealth health(Vm vm, boolean isolated, long nowNanos) {
        MemberState state = table.get(vm.vmId());
        if (vm.state() == VmState.LEAVING || state.leaving()) {
            return MemberHealth.LEAVING;
        }
        if (vm.vmId().equals(selfVmId)) {
            return MemberHealth.ALIVE;
        }
        long silentNanos = nowNanos - table.lastChangeNanos(vm.vmId());
        boolean suspect = state.suspect() || isolated || silentNanos > staleNanos();
        return suspect ? MemberHealth.SUSPECT : MemberHealth.ALIVE;
    }

    private long staleNanos() {
        return nanos(settings.staleBaseMillis() + settings.stalePerRouterMillis() * routers.size());
    }

    private MembershipView buildView(long nowNanos) {
        boolean isolated = isIsolated(nowNanos);
        List<Member> members = new ArrayList<>(routers.size());
        for (Vm vm : routers) {
            MemberState state = table.get(vm.vmId());
            members.add(
                    new Member(
                            vm,
                            health(vm, isolated, nowNanos),
                            state.incarnation(),
                            state.listRevision(),
                            state.configurationRevision()));
        }
        return new MembershipView(list, members);
    }

    private Vm selfVm() {
        return list.find(selfVmId)
                .orElse(new Vm(selfVmId, VmRole.ROUTER, VmState.LIVE, "", "", ""));
    }

    private List<MemberState> states(String receiver) {
        return table.select(receiver, settings.statesPerMessage());
    }

    private void send(String toVmId, DetectorMessage message) {
        messages.add(new Outgoing<>(toVmId, message));
    }

    private double interval() {
        return nanos(settings.probeIntervalMillis());
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private Step<DetectorMessage, MembershipView> flush(long nowNanos) {
        List<MembershipView> events = List.of();
        if (publishViewNow) {
            publishViewNow = false;
            viewChanged = false;
            nextViewNanos = nowNanos + nanos(VIEW_INTERVAL_MILLIS);
            MembershipView next = buildView(nowNanos);
            if (!next.equals(view)) {
                view = next;
                events = List.of(next);
            }
        }
        if (messages.isEmpty() && events.isEmpty()) {
            return Step.none();
        }
        Step<DetectorMessage, MembershipView> step = new Step<>(messages, events);
        messages = new ArrayList<>();
        return step;
    }
}
