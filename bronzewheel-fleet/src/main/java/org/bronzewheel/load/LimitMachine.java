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
 * State machine that enforces fleet-wide rate limits across routers.
 *
 * <p>Each router may use an equal share of a limit without coordination, so a partitioned router
 * stays within the limit. A router that needs more sends a request to the owner of the limit, a
 * router chosen by rendezvous hashing, which borrows unused shares from the others and grants them.
 * A grant expires before the loans that cover it, and a loan expires for the owner before the
 * lender uses its share again.
 */
final class LimitMachine implements StateMachine<LimitMessage, LimitShare> {
    private static final String HASH_PREFIX = "limit/";

    private final LimitSettings settings;
    private final Set<LimitRule> rules;
    private final long startedNanos;
    private final Map<String, Double> limits = new TreeMap<>();
    private final Map<String, OwnShare> shares = new TreeMap<>();
    private final Map<String, OwnedLimit> ownedLimits = new HashMap<>();
    private final Map<String, Double> reportedAllowances = new HashMap<>();
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
        ownedLimits.keySet().retainAll(newLimits.keySet());
        reportedAllowances.keySet().retainAll(newLimits.keySet());
        return flush(nowNanos);
    }

    /** Sets what this router would use without the limit, per second. */
    Step<LimitMessage, LimitShare> setDemand(String limit, double demandPerSecond, long nowNanos) {
        if (limits.containsKey(limit)) {
            share(limit).setDemand(demandPerSecond);
        }
        return flush(nowNanos);
    }

    /** Returns what this router may use now, per second. */
    double allowedPerSecond(String limit, long nowNanos) {
        return share(limit).allowedPerSecond(equalShare(limit), nowNanos);
    }

    @Override
    public Step<LimitMessage, LimitShare> receive(Peer from, LimitMessage message, long nowNanos) {
        String limit = message.limit();
        if (!limits.containsKey(limit) || view.find(from.vmId()).isEmpty()) {
            return flush(nowNanos);
        }
        if (message instanceof LimitMessage.Request request) {
            handleRequest(from, request, nowNanos);
        } else if (message instanceof LimitMessage.LoanRequest loanRequest) {
            lend(from, loanRequest, nowNanos);
        } else if (message instanceof LimitMessage.Loan loan) {
            ownedLimit(limit).recordLoan(from.vmId(), loan.round(), loan.amountPerSecond());
        } else if (message instanceof LimitMessage.Grant grant) {
            share(limit).recordGrant(grant.round(), grant.amountPerSecond());
        }
        return flush(nowNanos);
    }

    @Override
    public Step<LimitMessage, LimitShare> tick(long nowNanos) {
        for (String limit : limits.keySet()) {
            OwnShare share = shares.get(limit);
            if (share != null && share.isRequestDue(equalShare(limit), nowNanos)) {
                Optional<String> owner = owner(limit);
                long round = nextRound++;
                double amount = share.startRequest(round, equalShare(limit), nowNanos);
                owner.ifPresent(vmId -> send(vmId, new LimitMessage.Request(limit, round, amount)));
            }
        }
        return flush(nowNanos);
    }

    private void handleRequest(Peer from, LimitMessage.Request request, long nowNanos) {
        OwnedLimit owned = ownedLimit(request.limit());
        if (owned.isLoanRequestDue(nowNanos)) {
            long round = nextRound++;
            owned.startLoanRequest(round, nowNanos);
            for (Member member : view.members()) {
                send(member.vm().vmId(), new LimitMessage.LoanRequest(request.limit(), round));
            }
        }
        if (nowNanos - startedNanos < TimeUnit.MILLISECONDS.toNanos(settings.grantMillis())) {
            // Grants of an earlier process on this VM may still be in force.
            return;
        }
        double amount = owned.grant(from.vmId(), request.amountPerSecond(), nowNanos);
        send(from.vmId(), new LimitMessage.Grant(request.limit(), request.round(), amount));
    }

    private void lend(Peer owner, LimitMessage.LoanRequest loanRequest, long nowNanos) {
        double amount =
                share(loanRequest.limit())
                        .lend(owner.vmId(), equalShare(loanRequest.limit()), nowNanos);
        if (amount > 0) {
            send(
                    owner.vmId(),
                    new LimitMessage.Loan(loanRequest.limit(), loanRequest.round(), amount));
        }
    }

    private Optional<String> owner(String limit) {
        String key = HASH_PREFIX + limit;
        return view.members().stream()
                .filter(member -> member.health() == MemberHealth.ALIVE)
                .map(member -> member.vm().vmId())
                .max(
                        Comparator.comparingLong((String id) -> RendezvousHash.score(key, id))
                                .thenComparing(id -> id));
    }

    private double equalShare(String limit) {
        int routers = Math.max(1, view.members().size());
        return limits.getOrDefault(limit, 0.0) / routers;
    }

    private OwnShare share(String limit) {
        return shares.computeIfAbsent(limit, name -> new OwnShare(settings, rules));
    }

    private OwnedLimit ownedLimit(String limit) {
        return ownedLimits.computeIfAbsent(limit, name -> new OwnedLimit(settings, rules));
    }

    private void send(String toVmId, LimitMessage message) {
        messages.add(new Outgoing<>(toVmId, message));
    }

    private Step<LimitMessage, LimitShare> flush(long nowNanos) {
        List<LimitShare> events = new ArrayList<>();
        for (String limit : shares.keySet()) {
            double allowed = allowedPerSecond(limit, nowNanos);
            Double before = reportedAllowances.put(limit, allowed);
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
