package org.bronzewheel.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.machine.Outgoing;
import org.bronzewheel.machine.StateMachine;
import org.bronzewheel.machine.Step;
import org.bronzewheel.membership.Member;
import org.bronzewheel.membership.MemberHealth;
import org.bronzewheel.membership.MembershipView;
import org.bronzewheel.membership.RendezvousHash;
import org.bronzewheel.transport.Peer;

/**
 * The limits that the whole fleet keeps together, as a state machine.
 *
 * <p>Each router may spend an equal share of a limit without asking anybody, so a router that is
 * cut off keeps the limit. One that needs more asks the keeper of the limit, a router chosen by
 * rendezvous, which borrows what others do not need and passes it on. A grant runs out before the
 * loans that cover it, and a loan runs out for the keeper before the lender takes it back.
 */
final class LimitMachine implements StateMachine<LimitMessage, LimitShare> {
    private static final String KEY = "limit/";

    private final LimitSettings settings;
    private final Set<LimitRule> rules;
    private final long startedNanos;
    private final Map<String, Double> limits = new TreeMap<>();
    private final Map<String, OwnShare> shares = new TreeMap<>();
    private final Map<String, KeptLimit> kept = new HashMap<>();
    private final Map<String, Double> told = new HashMap<>();
    private MembershipView view = MembershipView.EMPTY;
    private long nextRound = 1;
    private List<Outgoing<LimitMessage>> messages = new ArrayList<>();

    LimitMachine(LimitSettings settings, long startedNanos) {
        this(settings, startedNanos, EnumSet.allOf(LimitRule.class));
    }

    LimitMachine(LimitSettings settings, long startedNanos, Set<LimitRule> rules) {
        this.startedNanos = startedNanos;
        this.settings = settings;
        this.rules = rules;
    }

    Step<LimitMessage, LimitShare> setView(MembershipView newView, long nowNanos) {
        view = newView;
        return flush(nowNanos);
    }

    /** Sets the limits of the fleet, per second. */
    Step<LimitMessage, LimitShare> setLimits(Map<String, Double> newLimits, long nowNanos) {
        limits.clear();
        limits.putAll(newLimits);
        shares.keySet().retainAll(newLimits.keySet());
        kept.keySet().retainAll(newLimits.keySet());
        told.keySet().retainAll(newLimits.keySet());
        return flush(nowNanos);
    }

    /** Sets what this router would spend, per second. */
    Step<LimitMessage, LimitShare> setDemand(String limit, double demandPerSecond, long nowNanos) {
        if (limits.containsKey(limit)) {
            share(limit).setDemand(demandPerSecond);
        }
        return flush(nowNanos);
    }

    /** What this router may spend now, per second. */
    double allowedPerSecond(String limit, long nowNanos) {
        return share(limit).allowedPerSecond(base(limit), nowNanos);
    }

    @Override
    public Step<LimitMessage, LimitShare> receive(Peer from, LimitMessage message, long nowNanos) {
        String limit = message.limit();
        if (!limits.containsKey(limit) || view.find(from.vmId()).isEmpty()) {
            return flush(nowNanos);
        }
        if (message instanceof LimitMessage.Wish wish) {
            serve(from, wish, nowNanos);
        } else if (message instanceof LimitMessage.Call call) {
            lend(from, call, nowNanos);
        } else if (message instanceof LimitMessage.Loan loan) {
            kept(limit).lend(from.vmId(), loan.round(), loan.amountPerSecond());
        } else if (message instanceof LimitMessage.Grant grant) {
            share(limit).grant(grant.round(), grant.amountPerSecond());
        }
        return flush(nowNanos);
    }

    @Override
    public Step<LimitMessage, LimitShare> tick(long nowNanos) {
        for (String limit : limits.keySet()) {
            OwnShare share = shares.get(limit);
            if (share != null && share.mustWish(base(limit), nowNanos)) {
                Optional<String> keeper = keeper(limit);
                long round = nextRound++;
                double amount = share.wish(round, base(limit), nowNanos);
                keeper.ifPresent(vmId -> send(vmId, new LimitMessage.Wish(limit, round, amount)));
            }
        }
        return flush(nowNanos);
    }

    private void serve(Peer from, LimitMessage.Wish wish, long nowNanos) {
        KeptLimit books = kept(wish.limit());
        if (books.mustCall(nowNanos)) {
            long round = nextRound++;
            books.call(round, nowNanos);
            for (Member member : view.members()) {
                send(member.vm().vmId(), new LimitMessage.Call(wish.limit(), round));
            }
        }
        if (nowNanos - startedNanos < TimeUnit.MILLISECONDS.toNanos(settings.grantMillis())) {
            // Grants of an earlier process on this VM may still be in force.
            return;
        }
        double amount = books.grant(from.vmId(), wish.amountPerSecond(), nowNanos);
        send(from.vmId(), new LimitMessage.Grant(wish.limit(), wish.round(), amount));
    }

    private void lend(Peer keeper, LimitMessage.Call call, long nowNanos) {
        double amount = share(call.limit()).lend(keeper.vmId(), base(call.limit()), nowNanos);
        if (amount > 0) {
            send(keeper.vmId(), new LimitMessage.Loan(call.limit(), call.round(), amount));
        }
    }

    private Optional<String> keeper(String limit) {
        String key = KEY + limit;
        return view.members().stream()
                .filter(member -> member.health() == MemberHealth.ALIVE)
                .map(member -> member.vm().vmId())
                .max(
                        Comparator.comparingLong((String id) -> RendezvousHash.score(key, id))
                                .thenComparing(id -> id));
    }

    private double base(String limit) {
        int routers = Math.max(1, view.members().size());
        return limits.getOrDefault(limit, 0.0) / routers;
    }

    private OwnShare share(String limit) {
        return shares.computeIfAbsent(limit, name -> new OwnShare(settings, rules));
    }

    private KeptLimit kept(String limit) {
        return kept.computeIfAbsent(limit, name -> new KeptLimit(settings, rules));
    }

    private void send(String toVmId, LimitMessage message) {
        messages.add(new Outgoing<>(toVmId, message));
    }

    private Step<LimitMessage, LimitShare> flush(long nowNanos) {
        List<LimitShare> events = new ArrayList<>();
        for (String limit : shares.keySet()) {
            double allowed = allowedPerSecond(limit, nowNanos);
            Double before = told.put(limit, allowed);
            if (before == null || before != allowed) {
                events.add(new LimitShare(limit, allowed));
            }
        }
        if (messages.isEmpty() && events.isEmpty()) {
            return Step.none();
        }
        Step<LimitMessage, LimitShare> step = new Step<>(messages, events);
        messages = new ArrayList<>();
        return step;
    }
}
