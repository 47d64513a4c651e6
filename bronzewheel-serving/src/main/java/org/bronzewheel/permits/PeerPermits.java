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
import org.bronzewheel.upstreams.UpstreamTable;
import org.bronzewheel.wire.PermitQuestion;
import org.bronzewheel.wire.PermitReply;
import org.bronzewheel.wire.UpstreamStatement;

/**
 * The permits of all routers: each limit has one keeper among them, which grants its requests.
 *
 * <p>No router has a standing share, as a limit may be lower than the number of routers. A keeper
 * grants the part of a limit that the routers it sees are of those known lately, so that the parts
 * of a fleet that was cut keep the limit together. A router that finds no keeper sends nothing to
 * the upstream meanwhile.
 */
public final class PeerPermits implements Permits, Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** The part of the limits for which stages begin, so that few requests wait behind them. */
    private static final double ENTRY_PART = 0.9;

    private static final String SEND_KEY = "permit/";
    private static final String ENTRY_KEY = "entry/";

    /** The longest time for a question and its reply, in milliseconds. */
    private static final long REPLY_MILLIS = 150;

    /** The time after which a grant is not used any more, in milliseconds. */
    private static final long GRANT_LIFE_MILLIS = 300;

    private static final long LEAST_PAUSE_MILLIS = 20;
    private static final long MOST_PAUSE_MILLIS = 4_000;

    /** The pause after a question that nobody who keeps the limit answered, in milliseconds. */
    private static final long NO_KEEPER_PAUSE_MILLIS = 250;

    /** The time for which a router that did not answer keeps nothing, in milliseconds. */
    private static final long LOST_MILLIS = 2_000;

    /** The part that a keeper grants while the one before it may still live. */
    private static final double PROVISIONAL_PART = 0.25;

    private final PeerTransport transport;
    private final SeedMembership membership;
    private final UpstreamTable upstreams;
    private final Announcements announcements;
    private final Loop loop;
    private final Map<PermitKind, OwnedPermits> keepers = new EnumMap<>(PermitKind.class);
    private final Map<Key, Long> closedUntilMillis = new HashMap<>();
    private final Map<String, Long> lostUntilMillis = new HashMap<>();
    private final Set<String> beingChecked = new HashSet<>();
    private final CompositeDisposable reports = new CompositeDisposable();

    private record Key(PermitKind kind, String name) {}

    /**
     * Creates permits that are not started.
     *
     * @param transport the way to the other routers
     * @param membership the other routers
     * @param upstreams the upstreams and what they said
     * @param loop the thread that owns it all
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
            keepers.put(kind, new OwnedPermits(kind, name -> limit(kind, name), loop));
        }
        transport.serve(
                Channel.LOAD,
                (from, bytes) ->
                        Single.create(emitter -> loop.execute(() -> serve(bytes, emitter))));
    }

    @Override
    public void start() {
        keepers.values().forEach(keeper -> reports.add(keeper.start()));
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
                ? announcements.perSecond(name)
                : upstreams.serviceLimit(name, loop.nowMillis());
    }

    @Override
    public long unavailableMillis(PermitKind kind, String name) {
        Key key = new Key(kind, name);
        Long untilMillis = closedUntilMillis.get(key);
        if (untilMillis == null) {
            return 0;
        }
        long leftMillis = untilMillis - loop.nowMillis();
        if (leftMillis <= 0 || !isNeeded(kind, name)) {
            closedUntilMillis.remove(key);
            return 0;
        }
        return leftMillis;
    }

    @Override
    public Disposable acquire(
            PermitKind kind,
            String name,
            int rank,
            long patienceMillis,
            Consumer<PermitDecision> listener) {
        Taking taking = new Taking(new Key(kind, name), patienceMillis, listener);
        long blockedMillis = unavailableMillis(kind, name);
        if (blockedMillis > patienceMillis) {
            loop.execute(() -> taking.end(PermitDecision.refusedFor(blockedMillis)));
            return taking;
        }
        String asked = keeperOf(taking.key);
        if (isSelf(asked)) {
            loop.execute(() -> askHere(rank, taking));
        } else {
            taking.call = ask(asked, rank, taking);
        }
        return taking;
    }

    private void askHere(int rank, Taking taking) {
        if (!taking.isDisposed()) {
            Key key = taking.key;
            keepers.get(key.kind())
                    .ask(key.name(), rank, taking.patienceMillis, part(key), taking::decided);
        }
    }

    private Disposable ask(String asked, int rank, Taking taking) {
        String name = taking.key.name();
        PermitQuestion.Builder question =
                PermitQuestion.newBuilder()
                        .setName(name)
                        .setRank(rank)
                        .setPatienceMillis(taking.patienceMillis)
                        .setEntry(taking.key.kind() == PermitKind.ENTRY);
        statement(taking.key).ifPresent(question::setStatement);
        return transport
                .call(
                        asked,
                        Channel.LOAD,
                        question.build().toByteArray(),
                        taking.patienceMillis + REPLY_MILLIS)
                .subscribe(
                        bytes -> loop.execute(() -> replied(asked, bytes, taking)),
                        error -> loop.execute(() -> failed(asked, error, taking)));
    }

    private void replied(String asked, byte[] bytes, Taking taking) {
        try {
            PermitReply reply = PermitReply.parseFrom(bytes);
            learn(reply.getStatement());
            taking.decided(
                    new PermitDecision(
                            reply.getGranted(),
                            Math.max(0, reply.getRetryAfterMillis()),
                            Math.max(0, reply.getNextMillis())));
        } catch (InvalidProtocolBufferException e) {
            failed(asked, e, taking);
        }
    }

    private void failed(String asked, Throwable error, Taking taking) {
        lose(asked, error);
        taking.decided(PermitDecision.refusedFor(NO_KEEPER_PAUSE_MILLIS));
    }

    private void lose(String vmId, Throwable error) {
        long untilMillis = loop.nowMillis() + LOST_MILLIS;
        if (lostUntilMillis.put(vmId, untilMillis) == null) {
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

    private void learn(UpstreamStatement message) {
        long nowMillis = loop.nowMillis();
        AnnouncementCodec.decode(message, nowMillis)
                .ifPresent(statement -> announcements.mergePeerStatement(statement, nowMillis));
    }

    private static String keeperKey(Key key) {
        return (key.kind() == PermitKind.ENTRY ? ENTRY_KEY : SEND_KEY) + key.name();
    }

    private String keeperOf(Key key) {
        lostUntilMillis.values().removeIf(untilMillis -> loop.nowMillis() >= untilMillis);
        return membership.ownerOf(keeperKey(key), lostUntilMillis.keySet(), loop.nowMillis());
    }

    private boolean isSelf(String vmId) {
        return vmId.equals(transport.self().vmId());
    }

    /** Returns the part of a limit that this router may grant as its keeper. */
    private double part(Key key) {
        long nowMillis = loop.nowMillis();
        double seen = Math.max(1, membership.able(nowMillis) - lostUntilMillis.size());
        double part = Math.min(1, seen / membership.routers(nowMillis));
        boolean settled = isSelf(membership.ownerOf(keeperKey(key), Set.of(), nowMillis));
        double granted = key.kind() == PermitKind.ENTRY ? ENTRY_PART * part : part;
        return settled ? granted : PROVISIONAL_PART * granted;
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
        learn(question.getStatement());
        PermitKind kind = question.getEntry() ? PermitKind.ENTRY : PermitKind.SEND;
        Key key = new Key(kind, question.getName());
        Consumer<PermitDecision> reply = decision -> reply(key, decision, emitter);
        String owner = keeperOf(key);
        if (isSelf(owner)) {
            long patienceMillis = Math.max(0, question.getPatienceMillis());
            keepers.get(kind).ask(key.name(), question.getRank(), patienceMillis, part(key), reply);
        } else {
            keepers.get(kind).giveUp(key.name());
            reply.accept(PermitDecision.refusedFor(NO_KEEPER_PAUSE_MILLIS));
            check(owner);
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

    /** Finds out whether the router that others passed over still answers. */
    @SuppressWarnings("CheckReturnValue")
    private void check(String vmId) {
        if (!beingChecked.add(vmId)) {
            return;
        }
        transport
                .call(
                        vmId,
                        Channel.LOAD,
                        PermitQuestion.getDefaultInstance().toByteArray(),
                        REPLY_MILLIS)
                .subscribe(
                        bytes -> loop.execute(() -> beingChecked.remove(vmId)),
                        error ->
                                loop.execute(
                                        () -> {
                                            beingChecked.remove(vmId);
                                            lose(vmId, error);
                                        }));
    }

    /** The taking of one permit. */
    private final class Taking implements Disposable {
        private final Key key;
        private final long patienceMillis;
        private final Consumer<PermitDecision> listener;
        private final ClockReading asked = loop.now();
        private Disposable call = Disposable.disposed();
        private boolean ended;

        Taking(Key key, long patienceMillis, Consumer<PermitDecision> listener) {
            this.key = key;
            this.patienceMillis = patienceMillis;
            this.listener = listener;
        }

        void decided(PermitDecision decision) {
            if (!decision.granted()) {
                long pauseMillis =
                        Math.max(
                                LEAST_PAUSE_MILLIS,
                                Math.min(MOST_PAUSE_MILLIS, decision.nextMillis()));
                closedUntilMillis.put(key, loop.nowMillis() + pauseMillis);
            }
            boolean fresh = loop.now().millisSince(asked) <= patienceMillis + GRANT_LIFE_MILLIS;
            end(fresh ? decision : PermitDecision.refusedFor(LEAST_PAUSE_MILLIS));
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
