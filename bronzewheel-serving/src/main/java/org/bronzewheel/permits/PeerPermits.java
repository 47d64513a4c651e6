package org.bronzewheel.permits;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.bronzewheel.catalog.Instants;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.peering.SeedMembership;
import org.bronzewheel.service.Service;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.upstreams.NamedLimits;
import org.bronzewheel.wire.PermitQuestion;
import org.bronzewheel.wire.PermitReply;
import org.bronzewheel.wire.UpstreamLimit;

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
    private static final String KEY = "permit/";

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

    private static final String NO_UPSTREAM = "";

    private final PeerTransport transport;
    private final SeedMembership membership;
    private final NamedLimits limits;
    private final Loop loop;
    private final PermitKeeper keeper;
    private final Map<String, Long> closedUntilMillis = new HashMap<>();
    private final Map<String, Long> lostUntilMillis = new HashMap<>();
    private final Set<String> checked = new HashSet<>();
    private Disposable reports = Disposable.disposed();

    /**
     * Creates permits that are not started.
     *
     * @param transport the way to the other routers
     * @param membership the other routers
     * @param limits what upstreams said
     * @param loop the thread that owns it all
     */
    public PeerPermits(
            PeerTransport transport, SeedMembership membership, NamedLimits limits, Loop loop) {
        this.transport = transport;
        this.membership = membership;
        this.limits = limits;
        this.loop = loop;
        this.keeper = new PermitKeeper(limits, loop);
        transport.serve(
                Channel.LOAD,
                (from, bytes) ->
                        Single.create(emitter -> loop.execute(() -> serve(bytes, emitter))));
    }

    @Override
    public void start() {
        reports = keeper.start();
    }

    @Override
    public void stop() {
        reports.dispose();
    }

    @Override
    public boolean isNeeded(String upstreamId) {
        return limits.perSecond(upstreamId).isPresent();
    }

    @Override
    public long opensAfterMillis(String upstreamId) {
        Long untilMillis = closedUntilMillis.get(upstreamId);
        if (untilMillis == null) {
            return 0;
        }
        long leftMillis = untilMillis - loop.nowMillis();
        if (leftMillis <= 0 || !isNeeded(upstreamId)) {
            closedUntilMillis.remove(upstreamId);
            return 0;
        }
        return leftMillis;
    }

    @Override
    public Disposable take(
            String upstreamId, int rank, long patienceMillis, Consumer<PermitDecision> listener) {
        Taking taking = new Taking(upstreamId, patienceMillis, listener);
        if (opensAfterMillis(upstreamId) > 0) {
            long closedMillis = opensAfterMillis(upstreamId);
            loop.execute(() -> taking.end(PermitDecision.closedFor(closedMillis)));
            return taking;
        }
        String asked = keeperOf(upstreamId);
        if (isSelf(asked)) {
            loop.execute(() -> askHere(upstreamId, rank, patienceMillis, taking));
        } else {
            taking.call = ask(asked, upstreamId, rank, patienceMillis, taking);
        }
        return taking;
    }

    private void askHere(String upstreamId, int rank, long patienceMillis, Taking taking) {
        if (!taking.isDisposed()) {
            keeper.ask(upstreamId, rank, patienceMillis, part(upstreamId), taking::decided);
        }
    }

    private Disposable ask(
            String asked, String upstreamId, int rank, long patienceMillis, Taking taking) {
        PermitQuestion.Builder question =
                PermitQuestion.newBuilder()
                        .setUpstreamId(upstreamId)
                        .setRank(rank)
                        .setPatienceMillis(patienceMillis);
        limits.statement(upstreamId)
                .ifPresent(
                        known ->
                                question.setLimit(
                                        PermitCodec.encode(upstreamId, known, loop.nowMillis())));
        return transport
                .call(
                        asked,
                        Channel.LOAD,
                        question.build().toByteArray(),
                        patienceMillis + REPLY_MILLIS)
                .subscribe(
                        bytes -> loop.execute(() -> replied(asked, bytes, taking)),
                        error -> loop.execute(() -> failed(asked, error, taking)));
    }

    private void replied(String asked, byte[] bytes, Taking taking) {
        try {
            PermitReply reply = PermitReply.parseFrom(bytes);
            learn(reply.getLimit());
            taking.decided(
                    new PermitDecision(
                            reply.getGranted(),
                            reply.getRetryAfterMillis(),
                            reply.getNextMillis()));
        } catch (InvalidProtocolBufferException e) {
            failed(asked, e, taking);
        }
    }

    private void failed(String asked, Throwable error, Taking taking) {
        lose(asked, error);
        taking.decided(PermitDecision.closedFor(NO_KEEPER_PAUSE_MILLIS));
    }

    private void lose(String vmId, Throwable error) {
        long untilMillis = loop.nowMillis() + LOST_MILLIS;
        if (lostUntilMillis.put(vmId, untilMillis) == null) {
            logger.atInfo().log("keeper of permits lost: vm=%s reason=%s", vmId, error);
        }
    }

    private void learn(UpstreamLimit message) {
        if (!message.getUpstreamId().isEmpty()) {
            limits.learned(message.getUpstreamId(), PermitCodec.decode(message, loop.nowMillis()));
        }
    }

    private String keeperOf(String upstreamId) {
        lostUntilMillis.values().removeIf(untilMillis -> loop.nowMillis() >= untilMillis);
        return membership.ownerOf(KEY + upstreamId, lostUntilMillis.keySet(), loop.nowMillis());
    }

    private boolean isSelf(String vmId) {
        return vmId.equals(transport.self().vmId());
    }

    /** Returns the part of a limit that this router may grant as its keeper. */
    private double part(String upstreamId) {
        long nowMillis = loop.nowMillis();
        double seen = Math.max(1, membership.able(nowMillis) - lostUntilMillis.size());
        double part = Math.min(1, seen / membership.routers(nowMillis));
        boolean settled = isSelf(membership.ownerOf(KEY + upstreamId, Set.of(), nowMillis));
        return settled ? part : PROVISIONAL_PART * part;
    }

    private void serve(byte[] bytes, SingleEmitter<byte[]> emitter) {
        PermitQuestion question;
        try {
            question = PermitQuestion.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            emitter.tryOnError(e);
            return;
        }
        String upstreamId = question.getUpstreamId();
        if (upstreamId.equals(NO_UPSTREAM)) {
            emitter.onSuccess(PermitReply.getDefaultInstance().toByteArray());
            return;
        }
        learn(question.getLimit());
        Consumer<PermitDecision> reply = decision -> reply(upstreamId, decision, emitter);
        String owner = keeperOf(upstreamId);
        if (isSelf(owner)) {
            long patienceMillis = Math.max(0, question.getPatienceMillis());
            keeper.ask(upstreamId, question.getRank(), patienceMillis, part(upstreamId), reply);
        } else {
            keeper.giveUp(upstreamId);
            reply.accept(PermitDecision.closedFor(NO_KEEPER_PAUSE_MILLIS));
            check(owner);
        }
    }

    private void reply(String upstreamId, PermitDecision decision, SingleEmitter<byte[]> emitter) {
        PermitReply.Builder reply =
                PermitReply.newBuilder()
                        .setGranted(decision.granted())
                        .setRetryAfterMillis(decision.retryAfterMillis())
                        .setNextMillis(decision.nextMillis());
        limits.statement(upstreamId)
                .ifPresent(
                        known ->
                                reply.setLimit(
                                        PermitCodec.encode(upstreamId, known, loop.nowMillis())));
        emitter.onSuccess(reply.build().toByteArray());
    }

    /** Finds out whether the router that others passed over still answers. */
    @SuppressWarnings("CheckReturnValue")
    private void check(String vmId) {
        if (!checked.add(vmId)) {
            return;
        }
        transport
                .call(
                        vmId,
                        Channel.LOAD,
                        PermitQuestion.getDefaultInstance().toByteArray(),
                        REPLY_MILLIS)
                .subscribe(
                        bytes -> loop.execute(() -> checked.remove(vmId)),
                        error ->
                                loop.execute(
                                        () -> {
                                            checked.remove(vmId);
                                            lose(vmId, error);
                                        }));
    }

    /** The taking of one permit. */
    private final class Taking implements Disposable {
        private final String upstreamId;
        private final long patienceMillis;
        private final Consumer<PermitDecision> listener;
        private final Instants asked = loop.now();
        private Disposable call = Disposable.disposed();
        private boolean ended;

        Taking(String upstreamId, long patienceMillis, Consumer<PermitDecision> listener) {
            this.upstreamId = upstreamId;
            this.patienceMillis = patienceMillis;
            this.listener = listener;
        }

        void decided(PermitDecision decision) {
            if (!decision.granted()) {
                long pauseMillis =
                        Math.max(
                                LEAST_PAUSE_MILLIS,
                                Math.min(MOST_PAUSE_MILLIS, decision.nextMillis()));
                closedUntilMillis.put(upstreamId, loop.nowMillis() + pauseMillis);
            }
            boolean fresh = loop.now().millisSince(asked) <= patienceMillis + GRANT_LIFE_MILLIS;
            end(fresh ? decision : PermitDecision.closedFor(LEAST_PAUSE_MILLIS));
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
