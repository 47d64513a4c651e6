package org.bronzewheel.peering;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.bronzewheel.catalog.CatalogProgress;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.service.Service;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.upstreams.AnnouncementCodec;
import org.bronzewheel.upstreams.Announcements;
import org.bronzewheel.wire.SeedHello;
import org.bronzewheel.wire.StageBacklog;
import org.bronzewheel.wire.UpstreamStatement;

/**
 * Exchanges heartbeats, catalog progress, backlogs of stage services, upstream statements and the
 * load on model engines between routers.
 */
public final class HeartbeatService implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final PeerTransport transport;
    private final SeedMembership membership;
    private final Loop loop;
    private final Supplier<Map<String, Backlog>> ownBacklogs;
    private final Supplier<Set<String>> backlogReaders;
    private final BiConsumer<String, Backlog> onBacklog;
    private final Announcements announcements;
    private final ProgressExchange progress;
    private final LoadExchange loads;
    private final Map<String, Long> greetedIncarnations = new HashMap<>();
    private byte[] lastMessage = new byte[0];
    private List<String> lastLive = List.of();
    private Disposable ticker = Disposable.disposed();

    /**
     * Creates a service that is not started and does not share the load of this router.
     *
     * @param transport carries the messages
     * @param membership receives the heartbeats
     * @param loop the event loop that this object is confined to
     * @param ownBacklogs the backlogs of the services that this router owns
     * @param backlogReaders the VMs that receive the backlogs with each message
     * @param onBacklog receives the backlogs that other owners report
     * @param announcements the announcements of upstreams, which are sent and received
     * @param progress the catalog progress, which is sent and received
     */
    public HeartbeatService(
            PeerTransport transport,
            SeedMembership membership,
            Loop loop,
            Supplier<Map<String, Backlog>> ownBacklogs,
            Supplier<Set<String>> backlogReaders,
            BiConsumer<String, Backlog> onBacklog,
            Announcements announcements,
            ProgressExchange progress) {
        this(
                transport,
                membership,
                loop,
                ownBacklogs,
                backlogReaders,
                onBacklog,
                announcements,
                progress,
                LoadExchange.NONE);
    }

    /**
     * Creates a service that is not started.
     *
     * @param transport carries the messages
     * @param membership receives the heartbeats
     * @param loop the event loop that this object is confined to
     * @param ownBacklogs the backlogs of the services that this router owns
     * @param backlogReaders the VMs that receive the backlogs with each message
     * @param onBacklog receives the backlogs that other owners report
     * @param announcements the announcements of upstreams, which are sent and received
     * @param progress the catalog progress, which is sent and received
     * @param loads the load on upstreams, which is sent and received
     */
    public HeartbeatService(
            PeerTransport transport,
            SeedMembership membership,
            Loop loop,
            Supplier<Map<String, Backlog>> ownBacklogs,
            Supplier<Set<String>> backlogReaders,
            BiConsumer<String, Backlog> onBacklog,
            Announcements announcements,
            ProgressExchange progress,
            LoadExchange loads) {
        this.transport = transport;
        this.membership = membership;
        this.loop = loop;
        this.ownBacklogs = ownBacklogs;
        this.backlogReaders = backlogReaders;
        this.onBacklog = onBacklog;
        this.announcements = announcements;
        this.progress = progress;
        this.loads = loads;
        transport.listen(
                Channel.MEMBERSHIP, (from, bytes) -> loop.execute(() -> receive(from, bytes)));
    }

    @Override
    public void start() {
        ticker = loop.every(SeedMembership.BEAT_MILLIS, this::tick);
        loop.execute(this::tick);
    }

    @Override
    public void stop() {
        ticker.dispose();
    }

    /** Notifies peers immediately that this router is shutting down. */
    public void leave() {
        membership.leave();
        tick();
    }

    private void tick() {
        long nowMillis = loop.nowMillis();
        SeedHello.Builder message =
                encode(membership.nextMessage(nowMillis)).setCatalog(encode(progress.own()));
        ownBacklogs
                .get()
                .forEach(
                        (service, backlog) ->
                                message.addBacklogs(
                                        StageBacklog.newBuilder()
                                                .setService(service)
                                                .addAllWaitMillis(backlog.waitMillis())
                                                .setCallMillis(backlog.callMillis())));
        announcements
                .recent(nowMillis)
                .forEach(
                        statement ->
                                message.addStatements(
                                        AnnouncementCodec.encode(statement, nowMillis)));
        lastMessage = message.build().toByteArray();
        loads.own().ifPresent(message::setLoads);
        byte[] messageWithLoads = message.build().toByteArray();
        Set<String> targets = membership.targets(nowMillis);
        for (String target : targets) {
            transport.send(target, Channel.MEMBERSHIP, messageWithLoads);
        }
        // Loads go to the random targets only: the owner of a queue sends to all of its submitters,
        // and its load would outweigh that of the others there.
        for (String reader : backlogReaders.get()) {
            if (!targets.contains(reader)) {
                transport.send(reader, Channel.MEMBERSHIP, lastMessage);
            }
        }
        logChange(nowMillis);
    }

    static SeedHello.Builder encode(HeartbeatMessage heartbeats) {
        return SeedHello.newBuilder()
                .setVmId(heartbeats.sender().vmId())
                .setIncarnation(heartbeats.sender().incarnation())
                .setBeat(heartbeats.sender().beat())
                .setLeaving(heartbeats.sender().leaving())
                .setCapacity(heartbeats.sender().capacity())
                .addAllOthers(heartbeats.others().stream().map(HeartbeatService::encode).toList());
    }

    private static org.bronzewheel.wire.CatalogProgress encode(CatalogProgress own) {
        org.bronzewheel.wire.CatalogProgress.Builder encoded =
                org.bronzewheel.wire.CatalogProgress.newBuilder()
                        .setVersion(own.version())
                        .setSettlingMillis(own.settlingMillis());
        if (own.epoch() >= 0) {
            encoded.setEpoch(own.epoch());
        }
        return encoded.build();
    }

    private static CatalogProgress decode(org.bronzewheel.wire.CatalogProgress message) {
        return new CatalogProgress(
                message.hasEpoch() ? message.getEpoch() : -1,
                message.getVersion(),
                message.getSettlingMillis());
    }

    private static org.bronzewheel.wire.PeerBeat encode(Heartbeat heartbeat) {
        return org.bronzewheel.wire.PeerBeat.newBuilder()
                .setVmId(heartbeat.vmId())
                .setIncarnation(heartbeat.incarnation())
                .setBeat(heartbeat.beat())
                .setLeaving(heartbeat.leaving())
                .setCapacity(heartbeat.capacity())
                .build();
    }

    static HeartbeatMessage decode(SeedHello message) {
        Heartbeat sender =
                new Heartbeat(
                        message.getVmId(),
                        message.getIncarnation(),
                        message.getBeat(),
                        message.getLeaving(),
                        message.getCapacity());
        List<Heartbeat> others =
                message.getOthersList().stream()
                        .map(
                                heartbeat ->
                                        new Heartbeat(
                                                heartbeat.getVmId(),
                                                heartbeat.getIncarnation(),
                                                heartbeat.getBeat(),
                                                heartbeat.getLeaving(),
                                                heartbeat.getCapacity()))
                        .toList();
        return new HeartbeatMessage(sender, others);
    }

    private void receive(Peer from, byte[] bytes) {
        try {
            SeedHello message = SeedHello.parseFrom(bytes);
            long nowMillis = loop.nowMillis();
            membership.receive(decode(message), nowMillis);
            greet(message.getVmId(), message.getIncarnation());
            progress.received(from.vmId(), decode(message.getCatalog()));
            if (message.hasLoads()) {
                loads.received(message.getLoads(), nowMillis);
            }
            for (UpstreamStatement statement : message.getStatementsList()) {
                AnnouncementCodec.decode(statement, nowMillis)
                        .ifPresent(known -> announcements.mergePeerStatement(known, nowMillis));
            }
            for (StageBacklog backlog : message.getBacklogsList()) {
                onBacklog.accept(
                        backlog.getService(),
                        new Backlog(
                                List.copyOf(backlog.getWaitMillisList()), backlog.getCallMillis()));
            }
        } catch (InvalidProtocolBufferException e) {
            logger.atWarning().withCause(e).log("malformed heartbeat from peer %s", from.vmId());
        }
    }

    /** Answers the first heartbeat of a router at once, as it may have just started. */
    private void greet(String vmId, long incarnation) {
        Long known = greetedIncarnations.put(vmId, incarnation);
        if (lastMessage.length > 0 && (known == null || known != incarnation)) {
            transport.send(vmId, Channel.MEMBERSHIP, lastMessage);
        }
    }

    private void logChange(long nowMillis) {
        List<String> live = membership.live(nowMillis);
        if (!live.equals(lastLive)) {
            greetedIncarnations.keySet().retainAll(live);
            logger.atInfo().log("members live: %s", live);
            lastLive = live;
        }
    }
}
