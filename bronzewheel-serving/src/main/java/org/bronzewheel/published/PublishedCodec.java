package org.bronzewheel.published;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.bronzewheel.catalog.CallerAccess;
import org.bronzewheel.catalog.CallerLimits;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.EnginePool;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.ServiceEntry;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.ServiceShare;
import org.bronzewheel.catalog.StagePool;
import org.bronzewheel.catalog.StageStep;
import org.bronzewheel.catalog.WorkspaceEntry;
import org.bronzewheel.published.PublishedChange.CatalogPut;
import org.bronzewheel.published.PublishedChange.DomainEvacuated;
import org.bronzewheel.published.PublishedChange.DomainReturned;
import org.bronzewheel.published.PublishedChange.Unreadable;
import org.bronzewheel.published.PublishedChange.UpstreamPut;
import org.bronzewheel.published.PublishedChange.UpstreamRemoved;
import org.bronzewheel.upstreams.UpstreamEntry;
import org.bronzewheel.wire.PublishedCatalog;
import org.bronzewheel.wire.PublishedEnginePool;
import org.bronzewheel.wire.PublishedItem;
import org.bronzewheel.wire.PublishedLimits;
import org.bronzewheel.wire.PublishedRoute;
import org.bronzewheel.wire.PublishedService;
import org.bronzewheel.wire.PublishedShare;
import org.bronzewheel.wire.PublishedStage;
import org.bronzewheel.wire.PublishedStagePool;
import org.bronzewheel.wire.PublishedUnreadable;
import org.bronzewheel.wire.PublishedUpstream;
import org.bronzewheel.wire.PublishedWorkspace;

/** Converts published changes to and from the protobuf messages that routers exchange. */
final class PublishedCodec {
    private PublishedCodec() {}

    static PublishedItem encode(PublishedChange change) {
        PublishedItem.Builder item = PublishedItem.newBuilder();
        if (change instanceof CatalogPut put) {
            item.setCatalog(encode(put.catalog()));
        } else if (change instanceof UpstreamPut put) {
            item.setUpstream(encode(put.entry()));
        } else if (change instanceof UpstreamRemoved removed) {
            item.setRemovedUpstream(removed.id());
        } else if (change instanceof DomainEvacuated evacuated) {
            item.setEvacuatedDomain(evacuated.domain());
        } else if (change instanceof DomainReturned returned) {
            item.setReturnedDomain(returned.domain());
        } else if (change instanceof Unreadable unreadable) {
            item.setUnreadable(
                    PublishedUnreadable.newBuilder()
                            .setName(unreadable.name())
                            .setReason(unreadable.reason()));
        }
        return item.build();
    }

    /** Returns the change, or empty for an unknown kind sent by a newer router version. */
    static Optional<PublishedChange> decode(PublishedItem item) {
        return switch (item.getKindCase()) {
            case CATALOG -> Optional.of(new CatalogPut(decode(item.getCatalog())));
            case UPSTREAM -> Optional.of(new UpstreamPut(decode(item.getUpstream())));
            case REMOVED_UPSTREAM -> Optional.of(new UpstreamRemoved(item.getRemovedUpstream()));
            case EVACUATED_DOMAIN -> Optional.of(new DomainEvacuated(item.getEvacuatedDomain()));
            case RETURNED_DOMAIN -> Optional.of(new DomainReturned(item.getReturnedDomain()));
            case UNREADABLE ->
                    Optional.of(
                            new Unreadable(
                                    item.getUnreadable().getName(),
                                    item.getUnreadable().getReason()));
            case KIND_NOT_SET -> Optional.empty();
        };
    }

    private static PublishedUpstream encode(UpstreamEntry entry) {
        return PublishedUpstream.newBuilder()
                .setId(entry.id())
                .setService(entry.service())
                .setAddress(entry.address())
                .setFailureDomain(entry.failureDomain())
                .setSlots(entry.slots())
                .setStartedMillis(entry.startedMillis())
                .setLeaving(entry.leaving())
                .setColdRemainingMillis(entry.coldRemainingMillis())
                .build();
    }

    private static UpstreamEntry decode(PublishedUpstream entry) {
        return new UpstreamEntry(
                entry.getId(),
                entry.getService(),
                entry.getAddress(),
                entry.getFailureDomain(),
                entry.getSlots(),
                entry.getStartedMillis(),
                entry.getLeaving(),
                entry.getColdRemainingMillis());
    }

    static PublishedCatalog encode(Catalog catalog) {
        CallerLimits limits = catalog.limits();
        CallerAccess access = catalog.access();
        PublishedCatalog.Builder encoded = PublishedCatalog.newBuilder();
        if (access.isKnown()) {
            encoded.setRequiresKeys(access.rule() == CallerAccess.Rule.KEYS);
        }
        return encoded.setVersion(catalog.version())
                .addAllRoutes(catalog.routes().stream().map(PublishedCodec::encode).toList())
                .addAllServices(catalog.services().stream().map(PublishedCodec::encode).toList())
                .addAllWorkspaces(access.workspaces().stream().map(PublishedCodec::encode).toList())
                .setLimits(
                        PublishedLimits.newBuilder()
                                .setMaxHeaderBytes(limits.maxHeaderBytes())
                                .setMaxBodyBytes(limits.maxBodyBytes())
                                .setHeaderTimeoutMillis(limits.headerTimeoutMillis())
                                .setIdleTimeoutMillis(limits.idleTimeoutMillis()))
                .build();
    }

    static Catalog decode(PublishedCatalog catalog) {
        PublishedLimits limits = catalog.getLimits();
        return new Catalog(
                catalog.getVersion(),
                catalog.getRoutesList().stream().map(PublishedCodec::decode).toList(),
                catalog.getServicesList().stream().map(PublishedCodec::decode).toList(),
                access(catalog),
                new CallerLimits(
                        limits.getMaxHeaderBytes(),
                        limits.getMaxBodyBytes(),
                        limits.getHeaderTimeoutMillis(),
                        limits.getIdleTimeoutMillis()));
    }

    /** Routers of earlier versions send no workspaces both for an empty list and for none. */
    private static CallerAccess access(PublishedCatalog catalog) {
        List<WorkspaceEntry> workspaces =
                catalog.getWorkspacesList().stream().map(PublishedCodec::decode).toList();
        if (!workspaces.isEmpty() || catalog.getRequiresKeys()) {
            return CallerAccess.withKeys(workspaces);
        }
        return catalog.hasRequiresKeys() ? CallerAccess.anyCaller() : CallerAccess.unknown();
    }

    private static PublishedRoute encode(ServiceRoute route) {
        PublishedRoute.Builder encoded =
                PublishedRoute.newBuilder()
                        .setName(route.name())
                        .setHost(route.host())
                        .setPrefix(route.prefix())
                        .setStreaming(route.streaming())
                        .setRepeatRule(route.retryRule().name())
                        .setTimeoutMillis(route.timeoutMillis())
                        .setObjectiveMillis(route.objectiveMillis())
                        .setGapObjectiveMillis(route.gapObjectiveMillis())
                        .setCallerSilenceMillis(route.callerSilenceMillis())
                        .setPriority(route.priority())
                        .setMaxAttempts(route.maxAttempts())
                        .setOpen(route.open());
        for (ServiceShare share : route.shares()) {
            encoded.addShares(
                    PublishedShare.newBuilder()
                            .setService(share.service())
                            .setWeight(share.weight()));
        }
        for (StageStep step : route.stages()) {
            encoded.addStages(
                    PublishedStage.newBuilder()
                            .setService(step.service())
                            .addAllAfter(step.after())
                            .setResultBytes(step.resultBytes()));
        }
        return encoded.build();
    }

    private static ServiceRoute decode(PublishedRoute route) {
        List<ServiceShare> shares =
                route.getSharesList().stream()
                        .map(share -> new ServiceShare(share.getService(), share.getWeight()))
                        .toList();
        List<StageStep> stages =
                route.getStagesList().stream()
                        .map(
                                step ->
                                        new StageStep(
                                                step.getService(),
                                                List.copyOf(step.getAfterList()),
                                                step.getResultBytes()))
                        .toList();
        return new ServiceRoute(
                route.getName(),
                route.getHost(),
                route.getPrefix(),
                route.getStreaming(),
                RetryRule.valueOf(route.getRepeatRule()),
                route.getTimeoutMillis(),
                route.getObjectiveMillis(),
                route.getGapObjectiveMillis(),
                route.getCallerSilenceMillis(),
                route.getPriority(),
                route.getMaxAttempts(),
                shares,
                stages,
                route.getOpen());
    }

    private static PublishedService encode(ServiceEntry service) {
        PublishedService.Builder encoded =
                PublishedService.newBuilder()
                        .setName(service.name())
                        .setMaxConnections(service.maxConnections())
                        .setColdStartMillis(service.coldStartMillis())
                        .setColdPerSecond(service.coldPerSecond());
        service.stagePool().ifPresent(pool -> encoded.setStagePool(encode(pool)));
        service.enginePool()
                .ifPresent(
                        pool ->
                                encoded.setEnginePool(
                                        PublishedEnginePool.newBuilder()
                                                .setSlots(pool.slots())
                                                .setCacheTokens(pool.cacheTokens())));
        return encoded.build();
    }

    private static PublishedStagePool encode(StagePool pool) {
        return PublishedStagePool.newBuilder()
                .setSlots(pool.slots())
                .setQueue(pool.queue())
                .setBatch(pool.batch())
                .setCallMillis(pool.callMillis())
                .setPieceMillis(pool.pieceMillis())
                .setRoomBytes(pool.roomBytes())
                .setResultMillis(pool.resultMillis())
                .build();
    }

    private static ServiceEntry decode(PublishedService service) {
        PublishedStagePool pool = service.getStagePool();
        return new ServiceEntry(
                service.getName(),
                service.getMaxConnections(),
                service.hasStagePool()
                        ? Optional.of(
                                new StagePool(
                                        pool.getSlots(),
                                        pool.getQueue(),
                                        pool.getBatch(),
                                        pool.getCallMillis(),
                                        pool.getPieceMillis(),
                                        pool.getRoomBytes(),
                                        pool.getResultMillis()))
                        : Optional.empty(),
                service.hasEnginePool()
                        ? Optional.of(
                                new EnginePool(
                                        service.getEnginePool().getSlots(),
                                        service.getEnginePool().getCacheTokens()))
                        : Optional.empty(),
                service.getColdStartMillis(),
                service.getColdPerSecond());
    }

    private static PublishedWorkspace encode(WorkspaceEntry workspace) {
        PublishedWorkspace.Builder encoded =
                PublishedWorkspace.newBuilder()
                        .setName(workspace.name())
                        .addAllKeys(workspace.keys());
        workspace.priority().ifPresent(encoded::setPriority);
        return encoded.build();
    }

    private static WorkspaceEntry decode(PublishedWorkspace workspace) {
        return new WorkspaceEntry(
                workspace.getName(),
                List.copyOf(workspace.getKeysList()),
                workspace.hasPriority()
                        ? OptionalInt.of(workspace.getPriority())
                        : OptionalInt.empty());
    }
}
