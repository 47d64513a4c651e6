package org.bronzewheel.stages;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.peering.SeedMembership;
import org.bronzewheel.repeats.RepeatBudget;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.wire.StageCancel;
import org.bronzewheel.wire.StageFrame;
import org.bronzewheel.wire.StageJobReply;
import org.bronzewheel.wire.StageRelease;

/**
 * The stage work of all routers: each service's upstreams have one owner among the routers, which
 * fills calls with the pieces of all of them.
 */
public final class SharedStages implements StageService {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MOST_OWNERS = 3;

    private final PeerTransport transport;
    private final SeedMembership membership;
    private final RepeatBudget budget;
    private final Loop loop;
    private final Function<String, StageDispatcher> newDispatcher;
    private final Map<String, StageDispatcher> dispatchers = new HashMap<>();
    private final Set<RemoteJob> remoteJobs = new HashSet<>();

    SharedStages(
            PeerTransport transport,
            SeedMembership membership,
            RepeatBudget budget,
            Loop loop,
            Function<String, StageDispatcher> newDispatcher) {
        this.transport = transport;
        this.membership = membership;
        this.budget = budget;
        this.loop = loop;
        this.newDispatcher = newDispatcher;
        transport.serve(
                Channel.STAGE,
                (from, bytes) ->
                        Single.create(emitter -> loop.execute(() -> serve(bytes, emitter))));
        transport.listen(Channel.STAGE, (from, bytes) -> loop.execute(() -> receive(bytes)));
    }

    @Override
    public void submit(StageJob job, StageListener listener) {
        new RemoteJob(job, listener).submit();
    }

    @Override
    public void release(String service, List<StageResult> results) {
        if (results.isEmpty()) {
            return;
        }
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
        remoteJobs.removeIf(remote -> remote.job.requestId().equals(requestId));
        String owner = owner(service, Set.of());
        if (isSelf(owner)) {
            dispatcher(service).cancel(requestId);
            return;
        }
        StageCancel cancel =
                StageCancel.newBuilder().setRequestId(requestId).setService(service).build();
        send(owner, StageFrame.newBuilder().setCancel(cancel).build());
    }

    @Override
    public long expectedWaitMillis(String service) {
        return isSelf(owner(service, Set.of())) ? dispatcher(service).expectedWaitMillis() : 0;
    }

    /**
     * Returns the expected waits of the services that this router owns.
     *
     * @return the waits in milliseconds, by service
     */
    public Map<String, Long> ownBacklogs() {
        Map<String, Long> waits = new HashMap<>();
        dispatchers.forEach(
                (service, dispatcher) -> {
                    if (isSelf(owner(service, Set.of()))) {
                        waits.put(service, dispatcher.expectedWaitMillis());
                    }
                });
        return waits;
    }

    /**
     * Returns the jobs that wait for the upstreams of this router.
     *
     * @return the number of jobs, those of other routers included
     */
    public int openJobs() {
        return dispatchers.values().stream().mapToInt(StageDispatcher::openJobs).sum();
    }

    /** Submits again what silent owners hold, and serves what the own upstreams can take. */
    public void tick() {
        List<String> live = membership.live(loop.nowMillis());
        for (RemoteJob remote : List.copyOf(remoteJobs)) {
            if (!live.contains(remote.owner)) {
                remote.ownerLost("silent");
            }
        }
        dispatchers.values().forEach(StageDispatcher::pump);
    }

    private String owner(String service, Set<String> excluded) {
        return membership.ownerOf(service, excluded, loop.nowMillis());
    }

    private boolean isSelf(String owner) {
        return owner.equals(transport.self().vmId());
    }

    private StageDispatcher dispatcher(String service) {
        return dispatchers.computeIfAbsent(service, newDispatcher);
    }

    private void send(String owner, StageFrame frame) {
        if (!transport.send(owner, Channel.STAGE, frame.toByteArray())) {
            logger.atFine().log("stage message to %s dropped; its results will lapse", owner);
        }
    }

    private void serve(byte[] bytes, SingleEmitter<byte[]> emitter) {
        StageFrame frame;
        try {
            frame = StageFrame.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            emitter.tryOnError(e);
            return;
        }
        StageJob job = StageCodec.decode(frame.getJob(), loop.nowMillis());
        dispatcher(job.service())
                .submit(
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
                dispatcher(frame.getCancel().getService()).cancel(frame.getCancel().getRequestId());
            }
        } catch (InvalidProtocolBufferException e) {
            logger.atWarning().withCause(e).log("a peer sent an unreadable stage message");
        }
    }

    /** A job with the owner that holds it. */
    private final class RemoteJob {
        private final StageJob job;
        private final StageListener listener;
        private final Set<String> lostOwners = new HashSet<>();
        private String owner = "";
        private Disposable call = Disposable.disposed();

        RemoteJob(StageJob job, StageListener listener) {
            this.job = job;
            this.listener = listener;
        }

        void submit() {
            owner = owner(job.service(), lostOwners);
            if (isSelf(owner)) {
                dispatcher(job.service()).submit(job, listener);
                return;
            }
            remoteJobs.add(this);
            long nowMillis = loop.nowMillis();
            StageFrame frame =
                    StageFrame.newBuilder().setJob(StageCodec.encode(job, nowMillis)).build();
            String asked = owner;
            call =
                    transport
                            .call(
                                    owner,
                                    Channel.STAGE,
                                    frame.toByteArray(),
                                    Math.max(1, job.deadlineAtMillis() - nowMillis))
                            .subscribe(
                                    bytes -> loop.execute(() -> replied(asked, bytes)),
                                    error -> loop.execute(() -> failed(asked, error)));
        }

        private void replied(String asked, byte[] bytes) {
            StageJobReply reply;
            try {
                reply = StageJobReply.parseFrom(bytes);
            } catch (InvalidProtocolBufferException e) {
                failed(asked, e);
                return;
            }
            List<StageResult> results = StageCodec.decode(reply.getHandlesList());
            if (!asked.equals(owner) || !remoteJobs.remove(this)) {
                release(job.service(), results);
                return;
            }
            if (reply.getFailure().isEmpty()) {
                listener.onResults(results);
            } else {
                listener.onFailure(StageFailure.valueOf(reply.getFailure()));
            }
        }

        private void failed(String asked, Throwable error) {
            if (asked.equals(owner)) {
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
                    || lostOwners.size() > MOST_OWNERS
                    || !budget.tryRepeat(job.service(), nowMillis)) {
                listener.onFailure(StageFailure.OWNER_LOST);
                return;
            }
            submit();
        }
    }
}
