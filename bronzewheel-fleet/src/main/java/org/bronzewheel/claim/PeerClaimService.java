package org.bronzewheel.claim;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.subjects.SingleSubject;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.machine.Outgoing;
import org.bronzewheel.machine.Step;
import org.bronzewheel.membership.MembershipService;
import org.bronzewheel.membership.MembershipView;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.vm.VmList;

/**
 * A claim service that runs a {@link ClaimMachine} over a {@link PeerTransport}.
 *
 * <p>One lock guards the machine. Messages and decisions are delivered after the lock is released.
 */
public final class PeerClaimService implements ClaimService {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long TICK_MILLIS = 20;

    private final PeerTransport transport;
    private final MembershipService membership;
    private final Scheduler scheduler;
    private final LongSupplier nanoClock;
    private final LongSupplier epochMillisClock;
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private final Object lock = new Object();
    private final ClaimSettings settings;
    private final long startedNanos;
    private final ClaimMachine machine;
    private final Map<RequestId, SingleSubject<ClaimDecision>> waiting = new HashMap<>();
    private final SingleSubject<Boolean> handedOver = SingleSubject.create();
    private boolean stopped;

    /**
     * Creates a service that remembers votes from now on.
     *
     * @param transport carries the messages; must be started after this constructor returns
     * @param membership provides the VM lists
     * @param settings timeouts and limits, the same on all routers of the fleet
     * @param scheduler runs the ticks
     * @param nanoClock the monotonic clock, in nanoseconds
     * @param epochMillisClock the wall clock, in milliseconds since the epoch
     */
    public PeerClaimService(
            PeerTransport transport,
            MembershipService membership,
            ClaimSettings settings,
            Scheduler scheduler,
            LongSupplier nanoClock,
            LongSupplier epochMillisClock) {
        this.transport = transport;
        this.membership = membership;
        this.scheduler = scheduler;
        this.nanoClock = nanoClock;
        this.epochMillisClock = epochMillisClock;
        this.settings = settings;
        this.startedNanos = nanoClock.getAsLong();
        this.machine = new ClaimMachine(settings, transport.self(), startedNanos);
        transport.listen(Channel.CLAIM, this::receive);
    }

    @Override
    public void start() {
        subscriptions.add(
                membership
                        .changes()
                        .map(MembershipView::list)
                        .distinctUntilChanged(VmList::revision)
                        .subscribe(
                                this::updateList,
                                error ->
                                        logger.atSevere().withCause(error).log(
                                                "VM list subscription failed; no further list"
                                                        + " changes will be applied")));
        subscriptions.add(
                scheduler.schedulePeriodicallyDirect(
                        this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS));
    }

    @Override
    public void stop() {
        subscriptions.dispose();
        Map<RequestId, SingleSubject<ClaimDecision>> abandoned;
        synchronized (lock) {
            stopped = true;
            abandoned = new HashMap<>(waiting);
            waiting.clear();
        }
        abandoned
                .values()
                .forEach(
                        subject ->
                                subject.onSuccess(
                                        new ClaimDecision.Refused(ErrorCode.DRAINING, 0)));
    }

    @Override
    public Single<ClaimDecision> claim(ClaimRequest request) {
        SingleSubject<ClaimDecision> decision = SingleSubject.create();
        synchronized (lock) {
            if (stopped) {
                return Single.just(new ClaimDecision.Refused(ErrorCode.DRAINING, 0));
            }
            waiting.put(request.requestId(), decision);
        }
        run(nowNanos -> machine.claim(request, nowNanos));
        return decision;
    }

    @Override
    public boolean isWarm() {
        long upNanos = nanoClock.getAsLong() - startedNanos;
        return TimeUnit.NANOSECONDS.toMillis(upNanos) >= settings.warmUpMillis();
    }

    @Override
    public boolean isStillGranted(ClaimRequest request) {
        synchronized (lock) {
            return machine.isStillGranted(request.requestId(), nanoClock.getAsLong());
        }
    }

    @Override
    public Single<Boolean> handOver(long timeoutMillis) {
        run(machine::handOver);
        return handedOver
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS, scheduler)
                .onErrorReturnItem(false);
    }

    /**
     * Returns the number of remembered votes.
     *
     * @return the number of keys that this router has voted on
     */
    public int voteCount() {
        synchronized (lock) {
            return machine.voteCount();
        }
    }

    /**
     * Returns the seats that this router has inherited and votes for in addition to its own.
     *
     * @return VM ids of routers that handed their votes to this one
     */
    public Set<String> inheritedSeats() {
        synchronized (lock) {
            return machine.inheritedSeats();
        }
    }

    private void updateList(VmList list) {
        run(nowNanos -> machine.updateList(VoterList.of(list), nowNanos));
    }

    private void receive(Peer from, byte[] payload) {
        Optional<ClaimMessage> message = ClaimCodec.decode(payload);
        if (message.isEmpty()) {
            logger.atWarning().log("discarded an invalid claim message from %s", from.vmId());
            return;
        }
        run(nowNanos -> machine.receive(from, message.get(), nowNanos));
    }

    private void tick() {
        run(machine::tick);
    }

    private void run(MachineInput input) {
        Step<ClaimMessage, ClaimEvent> step;
        synchronized (lock) {
            long nowNanos = nanoClock.getAsLong();
            machine.setWallClock(epochMillisClock.getAsLong(), nowNanos);
            step = input.apply(nowNanos);
        }
        for (Outgoing<ClaimMessage> outgoing : step.messages()) {
            transport.send(outgoing.toVmId(), Channel.CLAIM, ClaimCodec.encode(outgoing.message()));
        }
        step.events().forEach(this::deliver);
    }

    private void deliver(ClaimEvent event) {
        if (event instanceof ClaimEvent.HandedOver) {
            handedOver.onSuccess(true);
        } else if (event instanceof ClaimEvent.Decided decided) {
            SingleSubject<ClaimDecision> subject;
            synchronized (lock) {
                subject = waiting.remove(decided.requestId());
            }
            if (subject != null) {
                subject.onSuccess(decided.decision());
            }
        }
    }

    /** An input to the machine. */
    @FunctionalInterface
    private interface MachineInput {
        Step<ClaimMessage, ClaimEvent> apply(long nowNanos);
    }
}
