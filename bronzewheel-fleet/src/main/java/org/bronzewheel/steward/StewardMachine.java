package org.bronzewheel.steward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.machine.Outgoing;
import org.bronzewheel.machine.StateMachine;
import org.bronzewheel.machine.Step;
import org.bronzewheel.membership.Member;
import org.bronzewheel.membership.MemberHealth;
import org.bronzewheel.membership.MembershipView;
import org.bronzewheel.membership.RendezvousHash;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.vm.Vm;

/**
 * State machine that elects the stewards of all engine pools and issues their orders.
 *
 * <p>The live router with the highest rendezvous score for a pool requests the pool's lease from
 * all listed routers, and sends orders while two thirds of them have granted it. A voter grants the
 * lease to one holder at a time and keeps its grant for longer than the holder relies on it, so
 * that a successor waits until the lease of a paused or partitioned holder has expired. Two thirds
 * of one list and two thirds of another overlap while the two differ by less than a third, so that
 * a list change does not lead to a second steward.
 */
final class StewardMachine implements StateMachine<StewardMessage, EngineOrder> {
    private static final String HASH_PREFIX = "steward/";

    private final Peer self;
    private final StewardSettings settings;
    private final Set<StewardRule> rules;
    private final Map<String, LeaseVoter> voters = new HashMap<>();
    private final Map<String, LeaseHolder> leases = new TreeMap<>();
    private final Map<String, PoolOrders> orders = new TreeMap<>();
    private final long startedNanos;
    private MembershipView view = MembershipView.EMPTY;
    private Configuration configuration;
    private long nextRound = 1;
    private List<Outgoing<StewardMessage>> messages = new ArrayList<>();
    private List<EngineOrder> events = new ArrayList<>();

    StewardMachine(Peer self, StewardSettings settings, long startedNanos) {
        this(self, settings, startedNanos, EnumSet.allOf(StewardRule.class));
    }

    StewardMachine(Peer self, StewardSettings settings, long startedNanos, Set<StewardRule> rules) {
        this.self = self;
        this.settings = settings;
        this.startedNanos = startedNanos;
        this.rules = rules;
    }

    Step<StewardMessage, EngineOrder> setView(MembershipView newView, long nowNanos) {
        view = newView;
        return tick(nowNanos);
    }

    Step<StewardMessage, EngineOrder> setConfiguration(Configuration next, long nowNanos) {
        if (configuration == null || next.revision() > configuration.revision()) {
            configuration = next;
        }
        return tick(nowNanos);
    }

    /** Returns the pools whose lease this router holds. */
    Set<String> heldPools(long nowNanos) {
        Set<String> held = new TreeSet<>();
        leases.forEach(
                (pool, lease) -> {
                    if (lease.isHeld(nowNanos)) {
                        held.add(pool);
                    }
                });
        return held;
    }

    /** Returns whether an order may be sent now; called with the time just before sending. */
    boolean isSendAllowed(EngineOrder order, long nowNanos) {
        if (!rules.contains(StewardRule.CHECK_BEFORE_SENDING)) {
            return true;
        }
        return poolOf(order)
                .filter(pool -> leases.get(pool).outlastsOrder(nowNanos))
                .filter(pool -> orders.get(pool).isCurrent(order))
                .isPresent();
    }

    /** Ends an order that was not allowed to be sent. */
    Step<StewardMessage, EngineOrder> orderSkipped(EngineOrder order, long nowNanos) {
        poolOf(order).ifPresent(pool -> orders.get(pool).orderSkipped(order, nowNanos));
        return flush();
    }

    Step<StewardMessage, EngineOrder> orderCompleted(
            EngineOrder order, OrderResult result, long nowNanos) {
        poolOf(order).ifPresent(pool -> orders.get(pool).orderCompleted(order, result, nowNanos));
        return flush();
    }

    /** Releases all leases; part of a planned stop. */
    Step<StewardMessage, EngineOrder> releaseAll() {
        List.copyOf(leases.keySet()).forEach(this::release);
        return flush();
    }

    @Override
    public Step<StewardMessage, EngineOrder> receive(
            Peer from, StewardMessage message, long nowNanos) {
        if (message instanceof StewardMessage.Request request) {
            boolean granted = vote(from, request, nowNanos);
            send(from.vmId(), new StewardMessage.Reply(request.pool(), request.round(), granted));
        } else if (message instanceof StewardMessage.Reply reply) {
            handleReply(from, reply);
        } else if (message instanceof StewardMessage.Release release) {
            voter(release.pool()).release(from);
        }
        return flush();
    }

    @Override
    public Step<StewardMessage, EngineOrder> tick(long nowNanos) {
        if (configuration == null) {
            return flush();
        }
        Set<String> wanted = new TreeSet<>();
        for (Pool pool : configuration.inventory().pools()) {
            if (isPreferredSteward(pool)) {
                wanted.add(pool.name());
                runSteward(pool, nowNanos);
            }
        }
        List.copyOf(leases.keySet()).stream()
                .filter(pool -> !wanted.contains(pool))
                .forEach(this::release);
        return flush();
    }

    private boolean isPreferredSteward(Pool pool) {
        if (pool.kind() != PoolKind.MODEL_ENGINE || pool.models().isEmpty()) {
            return false;
        }
        String key = HASH_PREFIX + pool.name();
        return view.members().stream()
                .filter(member -> member.health() == MemberHealth.ALIVE)
                .map(Member::vm)
                .map(Vm::vmId)
                .max(
                        Comparator.comparingLong((String id) -> RendezvousHash.score(key, id))
                                .thenComparing(id -> id))
                .filter(preferred -> preferred.equals(self.vmId()))
                .isPresent();
    }

    private void runSteward(Pool pool, long nowNanos) {
        LeaseHolder lease = leases.computeIfAbsent(pool.name(), n -> new LeaseHolder(settings));
        if (lease.isRequestDue(nowNanos)) {
            requestLease(pool.name(), lease, nowNanos);
        }
        if (!lease.isHeld(nowNanos)) {
            orders.remove(pool.name());
            return;
        }
        PoolOrders poolOrders =
                orders.computeIfAbsent(
                        pool.name(),
                        n ->
                                new PoolOrders(
                                        settings,
                                        configuration.revision(),
                                        configuration.inventory(),
                                        pool,
                                        nowNanos));
        poolOrders.applyConfiguration(
                configuration.revision(), configuration.inventory(), pool, nowNanos);
        events.addAll(poolOrders.pollDueOrders(nowNanos));
    }

    private void requestLease(String pool, LeaseHolder lease, long nowNanos) {
        lease.startRequest(nextRound++, nowNanos);
        StewardMessage.Request request =
                new StewardMessage.Request(
                        pool, lease.round(), view.list().revision(), configuration.revision());
        for (Member member : view.members()) {
            if (!member.vm().vmId().equals(self.vmId())) {
                send(member.vm().vmId(), request);
            }
        }
        if (vote(self, request, nowNanos)) {
            lease.recordGrant(self.vmId(), request.round(), quorum());
        }
    }

    private void handleReply(Peer from, StewardMessage.Reply reply) {
        LeaseHolder lease = leases.get(reply.pool());
        if (lease != null && reply.granted() && isListed(from)) {
            lease.recordGrant(from.vmId(), reply.round(), quorum());
        }
    }

    private boolean vote(Peer from, StewardMessage.Request request, long nowNanos) {
        long configurationRevision = configuration == null ? 0 : configuration.revision();
        return isListed(from)
                && isListed(self)
                && voter(request.pool())
                        .vote(
                                from,
                                request,
                                view.list().revision(),
                                configurationRevision,
                                nowNanos);
    }

    private LeaseVoter voter(String pool) {
        return voters.computeIfAbsent(pool, n -> new LeaseVoter(settings, rules, startedNanos));
    }

    private boolean isListed(Peer peer) {
        return view.find(peer.vmId()).isPresent();
    }

    /** Returns two thirds of the listed routers, rounded up. */
    private int quorum() {
        return (2 * view.members().size() + 2) / 3;
    }

    private void release(String pool) {
        LeaseHolder lease = leases.remove(pool);
        orders.remove(pool);
        lease.release();
        voter(pool).release(self);
        for (Member member : view.members()) {
            if (!member.vm().vmId().equals(self.vmId())) {
                send(member.vm().vmId(), new StewardMessage.Release(pool, lease.round()));
            }
        }
    }

    private Optional<String> poolOf(EngineOrder order) {
        return orders.entrySet().stream()
                .filter(entry -> entry.getValue().hasEngine(order.upstreamName()))
                .map(Map.Entry::getKey)
                .findFirst();
    }

    private void send(String toVmId, StewardMessage message) {
        messages.add(new Outgoing<>(toVmId, message));
    }

    private Step<StewardMessage, EngineOrder> flush() {
        if (messages.isEmpty() && events.isEmpty()) {
            return Step.none();
        }
        Step<StewardMessage, EngineOrder> step = new Step<>(messages, events);
        messages = new ArrayList<>();
        events = new ArrayList<>();
        return step;
    }
}
