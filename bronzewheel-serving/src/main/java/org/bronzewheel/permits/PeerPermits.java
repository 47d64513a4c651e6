package org.bronzewheel.permits;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import org.bronzewheel.catalog.ClockReading;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.peering.SeedMembership;
import org.bronzewheel.service.Service;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.upstreams.AnnouncementCodec;
import org.bronzewheel.upstreams.Announcements;
import org.bronzewheel.upstreams.ColdLimit;
import org.bronzewheel.upstreams.Limits;
import org.bronzewheel.upstreams.UpstreamTable;
import org.bronzewheel.wire.PermitQuestion;
import org.bronzewheel.wire.PermitReply;
import org.bronzewheel.wire.UpstreamStatement;

/**
 * Rate-limit permits shared by all routers: each limit has one owner among the routers, which
 * grants the permits.
 *
 * <p>Routers have no fixed shares, as a limit may be lower than the number of routers. An owner
 * grants the fraction of a limit that corresponds to the routers it can reach out of those known
 * recently, so that the sides of a network partition together stay within the limit. A router that
 * reaches no owner does not send to the upstream until it does.
 */
public final class PeerPermits implements Permits, Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /**
     * The fraction of the limits for which stages may start, so that few requests queue after their
     * stages.
     */
    private static final double ENTRY_FRACTION = 0.9;

    private static final String SEND_KEY_PREFIX = "permit/";
    private static final String ENTRY_KEY_PREFIX = "entry/";

    /** The maximum round-trip time of a permit request, in milliseconds. */
    private static final long REPLY_MILLIS = 150;

    /** The time after which a grant is no longer used, in milliseconds. */
    private static final long GRANT_VALIDITY_MILLIS = 300;

    private static final long MIN_RETRY_MILLIS = 20;
    private static final long MAX_RETRY_MILLIS = 4_000;

    /** The pause after a request that no owner of the limit answered, in milliseconds. */
    private static final long NO_OWNER_RETRY_MILLIS = 250;

    /** The time for which a router that did not answer is not used as an owner, in milliseconds. */
    private static final long UNREACHABLE_MILLIS = 2_000;

    /** The fraction that an owner grants while the previous owner may still be running. */
    private static final double PROVISIONAL_FRACTION = 0.25;

    private final PeerTransport transport;
    private final SeedMembership membership;
    private final UpstreamTable upstreams;
    private final Announcements announcements;
    private final Loop loop;
    private final Map<PermitKind, OwnedPermits> ownedPermits = new EnumMap<>(PermitKind.class);
    private final Map<Key, Long> unavailableUntilMillis = new HashMap<>();
    private final Map<String, Long> unreachableUntilMillis = new HashMap<>();
    private final ReportedCold reportedCold = new ReportedCold();
    private final Set<String> ownersBeingProbed = new HashSet<>();
    private final CompositeDisposable reports = new CompositeDisposable();

    private record Key(PermitKind kind, String name) {}

    /**
     * Creates a service that is not started.
     *
     * @param transport the transport to the other routers
     * @param membership the other routers
     * @param upstreams the upstreams and their announcements
     * @param loop the event loop that this object is confined to
     */
    public PeerPermits(
            PeerTransport transport,
            SeedMembership membership,
            UpstreamTable upstreams,
            Loop loop) {
        this.transport = transport;
        this.membership = membership;
        this.upstreams = upstreams;
        this.announcements = upstreams.announcements();
        this.loop = loop;
        for (PermitKind kind : PermitKind.values()) {
            ownedPermits.put(kind, new OwnedPermits(kind, name -> limit(kind, name), loop));
        }
        transport.serve(
                Channel.LOAD,
                (from, bytes) ->
                        Single.create(emitter -> loop.execute(() -> serve(bytes, emitter))));
    }

    @Override
    public void start() {
        ownedPermits.values().forEach(permits -> reports.add(permits.start()));
    }

    @Override
    public void stop() {
        reports.clear();
    }

    @Override
    public boolean isNeeded(PermitKind kind, String name) {
        return limit(kind, name).isPresent();
    }

    private OptionalDouble limit(PermitKind kind, String name) {
        return kind == PermitKind.SEND
                ? Limits.smaller(announcements.perSecond(name), coldPerSecond(name))
                : upstreams.serviceLimit(name, loop.nowMillis());
    }

    /** Returns the limit of an upstream while it is cold, as read or reported. */
    private OptionalDouble coldPerSecond(String upstreamId) {
        long nowMillis = loop.nowMillis();
        return Limits.smaller(
                upstreams
                        .coldLimit(upstreamId, nowMillis)
                        .map(limit -> OptionalDouble.of(limit.perSecond()))
                        .orElse(OptionalDouble.empty()),
                reportedCold.perSecond(upstreamId, startedMillis(upstreamId), nowMillis));
    }

    private long startedMillis(String upstreamId) {
        return upstreams.known(upstreamId).map(u -> u.entry().startedMillis()).orElse(0L);
    }

    @Override
    public long unavailableMillis(PermitKind kind, String name) {
        Key key = new Key(kind, name);
        Long untilMillis = unavailableUntilMillis.get(key);
        if (untilMillis == null) {
            return 0;
        }
        long remainingMillis = untilMillis - loop.nowMillis();
        if (remainingMillis <= 0 || !isNeeded(kind, name)) {
            unavailableUntilMillis.remove(key);
            return 0;
        }
        return remainingMillis;
    }

    @Override
    public Disposable acquire(
            PermitKind kind,
            String name,
            int rank,
            long timeoutMillis,
            Consumer<PermitDecision> listener) {
        Acquisition acquisition = new Acquisition(new Key(kind, name), timeoutMillis, listener);
        long unavailableMillis = unavailableMillis(kind, name);
        if (unavailableMillis > timeoutMillis) {
            loop.execute(() -> acquisition.end(PermitDecision.refusedFor(unavailableMillis)));
            return acquisition;
        }
        String owner = ownerOf(acquisition.key);
        if (isSelf(owner)) {
            loop.execute(() -> askLocally(rank, acquisition));
        } else {
            acquisition.call = ask(owner, rank, acquisition);
        }
        return acquisition;
    }

    private void askLocally(int rank, Acquisition acquisition) {
        if (!acquisition.isDisposed()) {
            Key key = acquisition.key;
            ownedPermits
                    .get(key.kind())
                    .ask(
                            key.name(),
                            rank,
                            acquisition.timeoutMillis,
                            fraction(key),
                            acquisition::decided);
        }
    }

    private Disposable ask(String owner, int rank, Acquisition acquisition) {
        String name = acquisition.key.name();
        PermitQuestion.Builder question =
                PermitQuestion.newBuilder()
                        .setName(name)
                        .setRank(rank)
                        .setPatienceMillis(acquisition.timeoutMillis)
                        .setEntry(acquisition.key.kind() == PermitKind.ENTRY);
        statement(acquisition.key).ifPresent(question::setStatement);
        coldLimit(acquisition.key)
                .ifPresent(
                        limit ->
                                question.setColdRemainingMillis(limit.remainingMillis())
                                        .setColdPerSecond(limit.perSecond())
                                        .setColdStartedMillis(startedMillis(name)));
        return transport
                .call(
                        owner,
                        Channel.LOAD,
                        question.build().toByteArray(),
                        acquisition.timeoutMillis + REPLY_MILLIS)
                .subscribe(
                        bytes -> loop.execute(() -> replied(owner, bytes, acquisition)),
                        error -> loop.execute(() -> failed(owner, error, acquisition)));
    }

    private void replied(String owner, byte[] bytes, Acquisition acquisition) {
        try {
            PermitReply reply = PermitReply.parseFrom(bytes);
            mergeStatement(reply.getStatement());
            acquisition.decided(
                    new PermitDecision(
                            reply.getGranted(),
                            Math.max(0, reply.getRetryAfterMillis()),
                            Math.max(0, reply.getNextMillis())));
        } catch (InvalidProtocolBufferException e) {
            failed(owner, e, acquisition);
        }
    }

    private void failed(String owner, Throwable error, Acquisition acquisition) {
        markUnreachable(owner, error);
        acquisition.decided(PermitDecision.refusedFor(NO_OWNER_RETRY_MILLIS));
    }

    private void markUnreachable(String vmId, Throwable error) {
        long untilMillis = loop.nowMillis() + UNREACHABLE_MILLIS;
        if (unreachableUntilMillis.put(vmId, untilMillis) == null) {
            logger.atInfo().log("keeper of permits lost: vm=%s reason=%s", vmId, error);
        }
    }

    private Optional<UpstreamStatement> statement(Key key) {
        return key.kind() == PermitKind.ENTRY
                ? Optional.empty()
                : announcements
                        .statement(key.name())
                        .map(known -> AnnouncementCodec.encode(known, loop.nowMillis()));
    }

    private Optional<ColdLimit> coldLimit(Key key) {
        return key.kind() == PermitKind.ENTRY
                ? Optional.empty()
                : upstreams.coldLimit(key.name(), loop.nowMillis());
    }

    private void mergeColdLimit(PermitQuestion question) {
        if (!question.getEntry()
                && question.getColdRemainingMillis() > 0
                && question.getColdPerSecond() > 0) {
            reportedCold.report(
                    question.getName(),
                    question.getColdStartedMillis(),
                    new ColdLimit(question.getColdRemainingMillis(), question.getColdPerSecond()),
                    loop.nowMillis());
        }
    }

    private void mergeStatement(UpstreamStatement message) {
        long nowMillis = loop.nowMillis();
        AnnouncementCodec.decode(message, nowMillis)
                .ifPresent(statement -> announcements.mergePeerStatement(statement, nowMillis));
    }

    private static String ownerKey(Key key) {
        return (key.kind() == PermitKind.ENTRY ? ENTRY_KEY_PREFIX : SEND_KEY_PREFIX) + key.name();
    }

    private String ownerOf(Key key) {
        unreachableUntilMillis.values().removeIf(untilMillis -> loop.nowMillis() >= untilMillis);
        return membership.ownerOf(ownerKey(key), unreachableUntilMillis.keySet(), loop.nowMillis());
    }

    private boolean isSelf(String vmId) {
        return vmId.equals(transport.self().vmId());
    }

    /** Returns the fraction of a limit that this router may grant as its owner. */
    private double fraction(Key key) {
        long nowMillis = loop.nowMillis();
        double reachable =
                Math.max(1, membership.eligibleOwners(nowMillis) - unreachableUntilMillis.size());
        double fraction = Math.min(1, reachable / membership.routers(nowMillis));
        double coldFraction = Math.min(1, reachable / membership.existingRouters(nowMillis));
        fraction = Math.min(fraction, coldFraction * coldRatio(key));
        boolean isStableOwner = isSelf(membership.ownerOf(ownerKey(key), Set.of(), nowMillis));
        double granted = key.kind() == PermitKind.ENTRY ? ENTRY_FRACTION * fraction : fraction;
        return isStableOwner ? granted : PROVISIONAL_FRACTION * granted;
    }

    /**
     * Returns the ratio of the cold limit to the whole limit, which an announced limit may make
     * smaller; infinite without a cold limit.
     */
    private double coldRatio(Key key) {
        if (key.kind() == PermitKind.ENTRY) {
            boolean anyIsCold =
                    upstreams.serving(key.name()).stream()
                            .anyMatch(u -> coldPerSecond(u.entry().id()).isPresent());
            return anyIsCold ? 1 : Double.POSITIVE_INFINITY;
        }
        OptionalDouble cold = coldPerSecond(key.name());
        OptionalDouble whole = limit(key.kind(), key.name());
        return cold.isPresent() && whole.getAsDouble() > 0
                ? cold.getAsDouble() / whole.getAsDouble()
                : Double.POSITIVE_INFINITY;
    }

    private void serve(byte[] bytes, SingleEmitter<byte[]> emitter) {
        PermitQuestion question;
        try {
            question = PermitQuestion.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            emitter.tryOnError(e);
            return;
        }
        if (question.getName().isEmpty()) {
            emitter.onSuccess(PermitReply.getDefaultInstance().toByteArray());
            return;
        }
        mergeStatement(question.getStatement());
        mergeColdLimit(question);
        PermitKind kind = question.getEntry() ? PermitKind.ENTRY : PermitKind.SEND;
        Key key = new Key(kind, question.getName());
        Consumer<PermitDecision> reply = decision -> reply(key, decision, emitter);
        String owner = ownerOf(key);
        if (isSelf(owner)) {
            long timeoutMillis = Math.max(0, question.getPatienceMillis());
            ownedPermits
                    .get(kind)
                    .ask(key.name(), question.getRank(), timeoutMillis, fraction(key), reply);
        } else {
            ownedPermits.get(kind).release(key.name());
            reply.accept(PermitDecision.refusedFor(NO_OWNER_RETRY_MILLIS));
            probe(owner);
        }
    }

    private void reply(Key key, PermitDecision decision, SingleEmitter<byte[]> emitter) {
        PermitReply.Builder reply =
                PermitReply.newBuilder()
                        .setGranted(decision.granted())
                        .setRetryAfterMillis(decision.retryAfterMillis())
                        .setNextMillis(decision.nextMillis());
        statement(key).ifPresent(reply::setStatement);
        emitter.onSuccess(reply.build().toByteArray());
    }

    /** Probes the owner that the sender of a request bypassed. */
    @SuppressWarnings("CheckReturnValue")
    private void probe(String vmId) {
        if (!ownersBeingProbed.add(vmId)) {
            return;
        }
        transport
                .call(
                        vmId,
                        Channel.LOAD,
                        PermitQuestion.getDefaultInstance().toByteArray(),
                        REPLY_MILLIS)
                .subscribe(
                        bytes -> loop.execute(() -> ownersBeingProbed.remove(vmId)),
                        error ->
                                loop.execute(
                                        () -> {
                                            ownersBeingProbed.remove(vmId);
                                            markUnreachable(vmId, error);
                                        }));
    }

    /** The acquisition of one permit. */
    private final class Acquisition implements Disposable {
        private final Key key;
        private final long timeoutMillis;
        private final Consumer<PermitDecision> listener;
        private final ClockReading asked = loop.now();
        private Disposable call = Disposable.disposed();
        private boolean ended;

        Acquisition(Key key, long timeoutMillis, Consumer<PermitDecision> listener) {
            this.key = key;
            this.timeoutMillis = timeoutMillis;
            this.listener = listener;
        }

        void decided(PermitDecision decision) {
            if (!decision.granted()) {
                long retryMillis =
                        Math.max(
                                MIN_RETRY_MILLIS,
                                Math.min(MAX_RETRY_MILLIS, decision.nextMillis()));
                unavailableUntilMillis.put(key, loop.nowMillis() + retryMillis);
            }
            boolean fresh = loop.now().millisSince(asked) <= timeoutMillis + GRANT_VALIDITY_MILLIS;
            end(fresh ? decision : PermitDecision.refusedFor(MIN_RETRY_MILLIS));
        }

        void end(PermitDecision decision) {
            if (!ended) {
                ended = true;
                listener.accept(decision);
            }
        }

        @Override
        public void dispose() {
            ended = true;
            call.dispose();
        }

        @Override
        public boolean isDisposed() {
            return ended;
        }
    }
}
