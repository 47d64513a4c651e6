package org.bronzewheel.stages;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.stream.Collectors;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.peering.Backlog;
import org.bronzewheel.peering.SeedMembership;
import org.bronzewheel.repeats.SharedRetryBudget;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.wire.StageCancel;
import org.bronzewheel.wire.StageFrame;
import org.bronzewheel.wire.StageJobReply;
import org.bronzewheel.wire.StageRelease;

/**
 * Routes stage jobs to the router that owns the stage service. Each service has one owner, which
 * batches the pieces of all routers into calls to the service's upstreams.
 */
public final class SharedStages implements StageService {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_LOST_OWNERS = 3;
    private static final int MIN_ADVERTISED_RANKS = 4;

    /**
     * Bounds the size of a backlog; a submitter takes the wait of the last reported rank for any
     * rank after it, and the owner decides by the actual rank.
     */
    private static final int MAX_ADVERTISED_RANKS = 16;

    private static final int TICKS_PER_LOG = 10;
    private static final long SUBMITTER_EXPIRY_MILLIS = 5_000;

    /** How long a received backlog is valid; an owner sends it to submitters every 350 ms. */
    private static final long BACKLOG_MAX_AGE_MILLIS = 2_000;

    /**
     * Creates the dispatcher of a service; it releases inputs once its upstreams have read them.
     */
    interface DispatcherFactory {
        StageDispatcher create(String service, Consumer<List<StageResult>> releaseInputs);
    }

    private final PeerTransport transport;
    private final SeedMembership membership;
    private final SharedRetryBudget budget;
    private final Loop loop;
    private final IntSupplier ranks;
    private final DispatcherFactory newDispatcher;
    private final Map<String, StageDispatcher> dispatchers = new HashMap<>();
    private final Set<String> owned = new HashSet<>();
    private final Set<RemoteJob> remoteJobs = new LinkedHashSet<>();
    private final Map<String, ReceivedBacklog> receivedBacklogs = new HashMap<>();
    private final Map<String, Long> submitterMillis = new TreeMap<>();

    /** Unmet pieces by service and rank, reported to the owner with the next job. */
    private final Map<String, Map<Integer, Integer>> unmetPieces = new HashMap<>();

    private int ticks;
    private long shedByFormerDispatchers;

    private record ReceivedBacklog(Backlog backlog, long atMillis) {}

    SharedStages(
            PeerTransport transport,
            SeedMembership membership,
            SharedRetryBudget budget,
            Loop loop,
            IntSupplier ranks,
            DispatcherFactory newDispatcher) {
        this.transport = transport;
        this.membership = membership;
        this.budget = budget;
        this.loop = loop;
        this.ranks = ranks;
        this.newDispatcher = newDispatcher;
        transport.serve(
                Channel.STAGE,
                (from, bytes) ->
                        Single.create(emitter -> loop.execute(() -> serve(from, bytes, emitter))));
        transport.listen(Channel.STAGE, (from, bytes) -> loop.execute(() -> receive(bytes)));
    }

    @Override
    public void submit(StageJob job, StageListener listener) {
        budget.recordRequest(job.service(), StageJob.SUBMITTER_BUDGET_SHARE, loop.nowMillis());
        new RemoteJob(job, listener, false).submit();
    }

    @Override
    public void release(List<StageResult> results) {
        results.stream()
                .collect(Collectors.groupingBy(StageResult::service))
                .forEach(this::release);
    }

    private void release(String service, List<StageResult> results) {
        String owner = owner(service, Set.of());
        if (isSelf(owner)) {
            dispatcher(service).release(results);
            return;
        }
        StageRelease release =
                StageRelease.newBuilder()
                        .setService(service)
                        .addAllHandles(StageCodec.encode(results))
                        .build();
        send(owner, StageFrame.newBuilder().setRelease(release).build());
    }

    @Override
    public void cancel(String service, String requestId) {
        StageCancel cancel =
                StageCancel.newBuilder().setRequestId(requestId).setService(service).build();
        StageFrame frame = StageFrame.newBuilder().setCancel(cancel).build();
        for (RemoteJob remote : List.copyOf(remoteJobs)) {
            if (remote.job.requestId().equals(requestId) && remote.job.service().equals(service)) {
                remoteJobs.remove(remote);
                send(remote.owner, frame);
            }
        }
        StageDispatcher local = dispatchers.get(service);
        if (local != null) {
            local.cancel(requestId);
        }
    }

    @Override
    public void reportUnmetDemand(String service, int rank, int pieces) {
        if (isOwner(service)) {
            dispatcher(service).reportUnmetDemand(rank, pieces);
        } else {
            unmetPieces
                    .computeIfAbsent(service, unknown -> new TreeMap<>())
                    .merge(rank, pieces, Integer::sum);
        }
    }

    @Override
    public StageWait expectedWait(String service, int rank) {
        if (isOwner(service)) {
            StageDispatcher dispatcher = dispatcher(service);
            return new StageWait(
                    dispatcher.expectedWaitMillis(rank), dispatcher.expectedCallMillis(), 0);
        }
        ReceivedBacklog received = receivedBacklogs.get(service);
        if (received == null || received.backlog().waitMillis().isEmpty()) {
            return StageWait.UNKNOWN;
        }
        long ageMillis = loop.nowMillis() - received.atMillis();
        if (ageMillis > BACKLOG_MAX_AGE_MILLIS) {
            return new StageWait(0, received.backlog().callMillis(), ageMillis);
        }
        List<Long> byRank = received.backlog().waitMillis();
        return new StageWait(
                byRank.get(Math.min(rank, byRank.size() - 1)),
                received.backlog().callMillis(),
                ageMillis);
    }

    /** Returns the share of the capacity of an owned service that is guaranteed to a rank. */
    double guaranteedShare(String service, int rank) {
        return dispatcher(service).guaranteedShare(rank);
    }

    /**
     * Returns the backlogs of the services that this router owns.
     *
     * @return the backlogs by service
     */
    public Map<String, Backlog> ownBacklogs() {
        int advertisedRanks =
                Math.max(MIN_ADVERTISED_RANKS, Math.min(MAX_ADVERTISED_RANKS, ranks.getAsInt()));
        Map<String, Backlog> backlogs = new HashMap<>();
        dispatchers.forEach(
                (service, dispatcher) -> {
                    if (isOwner(service)) {
                        List<Long> byRank = new ArrayList<>();
                        for (int rank = 0; rank < advertisedRanks; rank++) {
                            byRank.add(dispatcher.expectedWaitMillis(rank));
                        }
                        backlogs.put(service, new Backlog(byRank, dispatcher.expectedCallMillis()));
                    }
                });
        return backlogs;
    }

    /**
     * Returns the routers that recently submitted jobs to this one.
     *
     * @return the ids of their VMs
     */
    public Set<String> submitters() {
        submitterMillis
                .values()
                .removeIf(atMillis -> loop.nowMillis() - atMillis > SUBMITTER_EXPIRY_MILLIS);
        return new LinkedHashSet<>(submitterMillis.keySet());
    }

    /**
     * Stores the backlog that the owner of a service reported.
     *
     * @param service the service
     * @param backlog the backlog at the owner
     */
    public void receiveBacklog(String service, Backlog backlog) {
        receivedBacklogs.put(service, new ReceivedBacklog(backlog, loop.nowMillis()));
    }

    /**
     * Returns the number of open jobs.
     *
     * @return the jobs in the queues of this router, including those submitted by other routers,
     *     plus jobs handed over to another owner that have not ended
     */
    public int openJobs() {
        long handedOver = remoteJobs.stream().filter(remote -> remote.handedOver).count();
        return (int) handedOver
                + dispatchers.values().stream().mapToInt(StageDispatcher::openJobs).sum();
    }

    /**
     * Returns the number of pieces queued at this router.
     *
     * @return the number of pieces, including those submitted by other routers
     */
    public int waitingPieces() {
        return dispatchers.values().stream().mapToInt(StageDispatcher::waitingPieces).sum();
    }

    /**
     * Returns the waiting time of the oldest job with queued pieces.
     *
     * @return the time in milliseconds; 0 if no piece is queued
     */
    public long oldestWaitMillis() {
        return dispatchers.values().stream()
                .mapToLong(StageDispatcher::oldestWaitMillis)
                .max()
                .orElse(0);
    }

    /**
     * Returns the number of jobs that were shed or refused by their cost to callers.
     *
     * @return the number of jobs at services of this router, since its start
     */
    public long shedJobs() {
        return shedByFormerDispatchers
                + dispatchers.values().stream().mapToLong(StageDispatcher::shedTasks).sum();
    }

    /**
     * Returns the number of jobs that will miss their objective because others are served first.
     *
     * @return the number of jobs in the queues of this router
     */
    public int displacedJobs() {
        return dispatchers.values().stream().mapToInt(StageDispatcher::displacedTasks).sum();
    }

    /** Resubmits jobs of owners that are no longer live and dispatches queued pieces. */
    public void tick() {
        List<String> live = membership.live(loop.nowMillis());
        for (RemoteJob remote : List.copyOf(remoteJobs)) {
            if (!live.contains(remote.owner)) {
                remote.ownerLost("silent");
            }
        }
        List.copyOf(dispatchers.keySet()).forEach(this::updateOwnership);
        dispatchers.values().forEach(StageDispatcher::pump);
        if (++ticks % TICKS_PER_LOG == 0) {
            dispatchers.forEach((service, dispatcher) -> dispatcher.logState(isOwner(service)));
        }
    }

    /**
     * Takes ownership of a service, or hands the jobs that have not started over to the new owner
     * of a service that this router no longer owns. Two queues for the same upstreams would not
     * account for each other's calls and results.
     */
    private void updateOwnership(String service) {
        StageDispatcher dispatcher = dispatchers.get(service);
        if (isOwner(service)) {
            if (owned.add(service)) {
                dispatcher.becomeOwner();
            }
            return;
        }
        owned.remove(service);
        List<StageTask> handedOverTasks = dispatcher.removeNotStarted(membership.isLeaving());
        handedOverTasks.forEach(task -> new RemoteJob(task.job(), task.listener(), true).submit());
        if (!handedOverTasks.isEmpty()) {
            logger.atInfo().log(
                    "stage jobs handed over: service=%s owner=%s jobs=%d",
                    service, owner(service, Set.of()), handedOverTasks.size());
        }
        if (dispatcher.openJobs() == 0) {
            shedByFormerDispatchers += dispatcher.shedTasks();
            dispatchers.remove(service);
        }
    }

    private String owner(String service, Set<String> excluded) {
        return membership.ownerOf(service, excluded, loop.nowMillis());
    }

    private boolean isOwner(String service) {
        return isSelf(owner(service, Set.of()));
    }

    private boolean isSelf(String owner) {
        return owner.equals(transport.self().vmId());
    }

    private StageDispatcher dispatcher(String service) {
        StageDispatcher existing = dispatchers.get(service);
        if (existing != null) {
            return existing;
        }
        StageDispatcher created = newDispatcher.create(service, this::release);
        dispatchers.put(service, created);
        if (isOwner(service) && owned.add(service)) {
            created.becomeOwner();
        }
        return created;
    }

    private void submitLocally(StageJob job, StageListener listener) {
        dispatcher(job.service()).submit(job, listener, isOwner(job.service()));
    }

    private void send(String owner, StageFrame frame) {
        if (!transport.send(owner, Channel.STAGE, frame.toByteArray())) {
            logger.atFine().log(
                    "stage message to %s not sent; the results it refers to will expire", owner);
        }
    }

    private void serve(Peer from, byte[] bytes, SingleEmitter<byte[]> emitter) {
        submitterMillis.put(from.vmId(), loop.nowMillis());
        StageFrame frame;
        try {
            frame = StageFrame.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            emitter.tryOnError(e);
            return;
        }
        StageJob job = StageCodec.decode(frame.getJob(), loop.nowMillis());
        StageDispatcher dispatcher = dispatcher(job.service());
        StageCodec.decodeUnmet(frame.getJob()).forEach(dispatcher::reportUnmetDemand);
        submitLocally(
                job,
                new StageListener() {
                    @Override
                    public void onResults(List<StageResult> results) {
                        emitter.onSuccess(StageCodec.encodeResults(results).toByteArray());
                    }

                    @Override
                    public void onFailure(StageFailure failure) {
                        emitter.onSuccess(StageCodec.encodeFailure(failure).toByteArray());
                    }
                });
    }

    private void receive(byte[] bytes) {
        try {
            StageFrame frame = StageFrame.parseFrom(bytes);
            if (frame.hasRelease()) {
                StageRelease release = frame.getRelease();
                dispatcher(release.getService())
                        .release(StageCodec.decode(release.getHandlesList()));
            } else if (frame.hasCancel()) {
                cancel(frame.getCancel().getService(), frame.getCancel().getRequestId());
            }
        } catch (InvalidProtocolBufferException e) {
            logger.atWarning().withCause(e).log("failed to parse a stage message from a peer");
        }
    }

    /** A job submitted to the router that owns its service. */
    private final class RemoteJob {
        private final StageJob job;
        private final StageListener listener;
        private final boolean handedOver;
        private final Set<String> lostOwners = new HashSet<>();
        private String owner = "";
        private Disposable call = Disposable.disposed();

        RemoteJob(StageJob job, StageListener listener, boolean handedOver) {
            this.job = job;
            this.listener = listener;
            this.handedOver = handedOver;
        }

        void submit() {
            owner = owner(job.service(), lostOwners);
            if (isSelf(owner)) {
                submitLocally(job, listener);
                return;
            }
            remoteJobs.add(this);
            long nowMillis = loop.nowMillis();
            Map<Integer, Integer> unmet = unmetPieces.remove(job.service());
            StageFrame frame =
                    StageFrame.newBuilder()
                            .setJob(
                                    StageCodec.encode(
                                            job, unmet == null ? Map.of() : unmet, nowMillis))
                            .build();
            String requestedOwner = owner;
            call =
                    transport
                            .call(
                                    owner,
                                    Channel.STAGE,
                                    frame.toByteArray(),
                                    Math.max(1, job.deadlineAtMillis() - nowMillis))
                            .subscribe(
                                    bytes -> loop.execute(() -> onReply(requestedOwner, bytes)),
                                    error -> loop.execute(() -> failed(requestedOwner, error)));
        }

        private void onReply(String requestedOwner, byte[] bytes) {
            StageJobReply reply;
            try {
                reply = StageJobReply.parseFrom(bytes);
            } catch (InvalidProtocolBufferException e) {
                failed(requestedOwner, e);
                return;
            }
            List<StageResult> results = StageCodec.decode(reply.getHandlesList());
            if (!requestedOwner.equals(owner) || !remoteJobs.remove(this)) {
                release(results);
                return;
            }
            if (reply.getFailure().isEmpty()) {
                listener.onResults(results);
            } else {
                listener.onFailure(StageFailure.valueOf(reply.getFailure()));
            }
        }

        private void failed(String requestedOwner, Throwable error) {
            if (requestedOwner.equals(owner)) {
                if (loop.nowMillis() < job.deadlineAtMillis()) {
                    membership.suspect(requestedOwner, loop.nowMillis());
                }
                ownerLost(error.getMessage());
            }
        }

        void ownerLost(String reason) {
            if (!remoteJobs.remove(this)) {
                return;
            }
            logger.atInfo().log(
                    "stage owner lost: service=%s owner=%s request=%s reason=%s",
                    job.service(), owner, job.requestId(), reason);
            call.dispose();
            lostOwners.add(owner);
            long nowMillis = loop.nowMillis();
            if (nowMillis >= job.deadlineAtMillis()
                    || lostOwners.size() > MAX_LOST_OWNERS
                    || !budget.tryRetry(job.service(), nowMillis)) {
                listener.onFailure(StageFailure.OWNER_LOST);
                return;
            }
            submit();
        }
    }
}
