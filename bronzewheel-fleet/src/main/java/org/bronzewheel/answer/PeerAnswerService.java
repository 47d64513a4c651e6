package org.bronzewheel.answer;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.bronzewheel.membership.MembershipService;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.wire.AnswerCall;
import org.bronzewheel.wire.AnswerCopy;

/**
 * An answer store that replicates over a {@link PeerTransport}.
 *
 * <p>One lock guards the table; it is never held during a call to a peer.
 */
public final class PeerAnswerService implements AnswerService {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final byte[] EMPTY_REPLY = new byte[0];
    private static final int MAX_CONCURRENT_HAND_OVER_CALLS = 16;

    private final PeerTransport transport;
    private final MembershipService membership;
    private final AnswerSettings settings;
    private final Scheduler scheduler;
    private final LongSupplier nanoClock;
    private final CompositeDisposable subscriptions = new CompositeDisposable();
    private final Object lock = new Object();
    private final AnswerTable table;

    /**
     * Creates an empty store.
     *
     * @param transport carries the calls; must not be started before this constructor returns
     * @param membership provides the list of routers
     * @param settings the limits
     * @param scheduler runs the timeouts and the eviction
     * @param nanoClock the monotonic clock, in nanoseconds
     */
    public PeerAnswerService(
            PeerTransport transport,
            MembershipService membership,
            AnswerSettings settings,
            Scheduler scheduler,
            LongSupplier nanoClock) {
        this.transport = transport;
        this.membership = membership;
        this.settings = settings;
        this.scheduler = scheduler;
        this.nanoClock = nanoClock;
        this.table = new AnswerTable(settings);
        transport.serve(Channel.ANSWER, this::serve);
    }

    @Override
    public void start() {
        subscriptions.add(
                scheduler.schedulePeriodicallyDirect(this::evict, 1, 1, TimeUnit.SECONDS));
    }

    @Override
    public void stop() {
        subscriptions.dispose();
    }

    @Override
    public Completable store(StoredAnswer answer, long timeoutMillis) {
        return Completable.defer(
                () -> {
                    storeLocally(answer, true);
                    return replicate(answer, timeoutMillis);
                });
    }

    @Override
    public Maybe<StoredAnswer> find(RequestId requestId, long timeoutMillis) {
        return Maybe.defer(
                () -> {
                    Optional<StoredAnswer> own = lookUp(requestId);
                    return own.isPresent()
                            ? Maybe.just(own.get())
                            : findOnPeers(requestId, timeoutMillis);
                });
    }

    @Override
    public Completable handOver(long timeoutMillis) {
        return Flowable.defer(() -> Flowable.fromIterable(unreplicated()))
                .flatMapCompletable(
                        answer -> replicate(answer, timeoutMillis),
                        false,
                        MAX_CONCURRENT_HAND_OVER_CALLS)
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS, scheduler)
                .onErrorComplete();
    }

    /**
     * Returns the used size.
     *
     * @return the encoded size of all locally stored answers, in bytes
     */
    public long usedBytes() {
        synchronized (lock) {
            return table.usedBytes();
        }
    }

    private Completable replicate(StoredAnswer answer, long timeoutMillis) {
        List<String> holders =
                ReplicaSelector.rank(answer.requestId(), membership.current().list());
        byte[] call = AnswerCodec.keepCall(answer);
        List<Completable> copies = new ArrayList<>();
        for (int i = 0; i < Math.min(settings.copies(), holders.size()); i++) {
            copies.add(replicateToHolder(answer, call, holders, i, timeoutMillis));
        }
        return Completable.merge(copies)
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS, scheduler)
                .onErrorComplete();
    }

    /** Sends the replica to a holder or, if that fails, to its substitute. */
    private Completable replicateToHolder(
            StoredAnswer answer, byte[] call, List<String> holders, int index, long timeoutMillis) {
        Single<byte[]> first =
                transport.call(holders.get(index), Channel.ANSWER, call, timeoutMillis / 2);
        int substitute = index + settings.copies();
        if (substitute < holders.size()) {
            first =
                    first.onErrorResumeNext(
                            error ->
                                    transport.call(
                                            holders.get(substitute),
                                            Channel.ANSWER,
                                            call,
                                            timeoutMillis / 2));
        }
        return first.doOnSuccess(reply -> markReplicated(answer.requestId()))
                .ignoreElement()
                .onErrorComplete();
    }

    private Maybe<StoredAnswer> findOnPeers(RequestId requestId, long timeoutMillis) {
        byte[] call = AnswerCodec.findCall(requestId);
        List<Maybe<StoredAnswer>> lookups = new ArrayList<>();
        for (String vmId : candidates(requestId)) {
            lookups.add(
                    transport
                            .call(vmId, Channel.ANSWER, call, timeoutMillis)
                            .flatMapMaybe(PeerAnswerService::decodeFound)
                            .onErrorComplete());
        }
        return Maybe.merge(lookups)
                .firstElement()
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS, scheduler)
                .onErrorComplete();
    }

    /** Returns the router that accepted the request and those that may hold replicas. */
    private List<String> candidates(RequestId requestId) {
        List<String> vmIds = new ArrayList<>();
        vmIds.add(requestId.vmId());
        ReplicaSelector.rank(requestId, membership.current().list()).stream()
                .limit(2L * settings.copies())
                .forEach(vmIds::add);
        vmIds.remove(transport.self().vmId());
        return vmIds;
    }

    private static Maybe<StoredAnswer> decodeFound(byte[] reply)
            throws InvalidProtocolBufferException {
        return AnswerCodec.decode(AnswerCopy.parseFrom(reply))
                .map(Maybe::just)
                .orElse(Maybe.empty());
    }

    private Single<byte[]> serve(Peer from, byte[] payload) {
        return Single.fromCallable(() -> handleCall(AnswerCall.parseFrom(payload)))
                .doOnError(
                        error ->
                                logger.atWarning().withCause(error).log(
                                        "failed to handle an answer call from %s", from.vmId()));
    }

    private byte[] handleCall(AnswerCall call) {
        if (call.hasKeep()) {
            AnswerCodec.decode(call.getKeep()).ifPresent(answer -> storeLocally(answer, false));
            return EMPTY_REPLY;
        }
        return RequestId.parse(call.getFind())
                .flatMap(this::lookUp)
                .map(found -> AnswerCodec.encode(found).toByteArray())
                .orElse(EMPTY_REPLY);
    }

    private void storeLocally(StoredAnswer answer, boolean needsReplica) {
        int bytes = AnswerCodec.encode(answer).getSerializedSize();
        synchronized (lock) {
            table.add(answer, bytes, needsReplica, nanoClock.getAsLong());
        }
    }

    private Optional<StoredAnswer> lookUp(RequestId requestId) {
        synchronized (lock) {
            return table.find(requestId);
        }
    }

    private void markReplicated(RequestId requestId) {
        synchronized (lock) {
            table.markReplicated(requestId);
        }
    }

    private List<StoredAnswer> unreplicated() {
        synchronized (lock) {
            return table.unreplicated();
        }
    }

    private void evict() {
        synchronized (lock) {
            table.evict(nanoClock.getAsLong());
        }
    }
}
