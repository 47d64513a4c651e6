package org.bronzewheel.serving;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.WorkspaceEntry;

/**
 * The entry of requests: finds route and workspace, refuses what cannot be served, runs the rest.
 */
public final class ServingEngine {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final RunningRequest NOTHING = () -> {};
    private static final long NO_CATALOG_RETRY_MILLIS = 300;
    private static final long NO_EVIDENCE_RETRY_MILLIS = 400;
    private static final long STOPPING_RETRY_MILLIS = 50;

    private final ServingContext parts;
    private final FirstEventWaits engineWaits = new FirstEventWaits();
    private final Set<RequestRun> running = new HashSet<>();
    private boolean stopping;

    /**
     * Creates an engine.
     *
     * @param parts what it works with
     */
    public ServingEngine(ServingContext parts) {
        this.parts = parts;
    }

    /** Refuses requests from now on; those in progress go on. */
    public void refuseNew() {
        stopping = true;
    }

    /**
     * Returns the number of requests in progress.
     *
     * @return the number
     */
    public int runningRequests() {
        return running.size();
    }

    /**
     * Runs a request.
     *
     * @param request the request
     * @param exchange takes the answer, possibly before this method returns
     * @return takes the leave of the caller
     */
    public RunningRequest run(CallerRequest request, CallerExchange exchange) {
        long nowMillis = parts.loop().nowMillis();
        Optional<Catalog> catalog = parts.catalog().current();
        if (catalog.isEmpty() || !parts.upstreams().isLoaded()) {
            return refuse(
                    request,
                    exchange,
                    Refusal.notRun("no configuration yet", NO_CATALOG_RETRY_MILLIS));
        }
        boolean fresh = parts.catalog().honoursKeys(parts.loop().now());
        Optional<ServiceRoute> route = catalog.get().route(request.host(), request.path());
        if (route.isEmpty()) {
            return refuse(
                    request,
                    exchange,
                    fresh
                            ? Refusal.of(Refusal.NOT_FOUND, "no route takes the request")
                            : staleEvidence());
        }
        Optional<WorkspaceEntry> workspace = Optional.empty();
        if (catalog.get().needsKey(route.get())) {
            if (!fresh) {
                return refuse(request, exchange, staleEvidence());
            }
            workspace = request.key().flatMap(catalog.get()::workspace);
            if (workspace.isEmpty()) {
                return refuse(
                        request, exchange, Refusal.of(Refusal.UNAUTHORIZED, "the key is unknown"));
            }
        }
        if (stopping) {
            return refuse(
                    request, exchange, Refusal.notRun("this router stops", STOPPING_RETRY_MILLIS));
        }
        List<Integer> pieces = request.pieces();
        if (!route.get().stages().isEmpty() && (pieces.isEmpty() || request.pieceKey().isEmpty())) {
            return refuse(
                    request,
                    exchange,
                    Refusal.of(Refusal.BAD_REQUEST, "the pieces of the stages are missing"));
        }
        RequestRun run =
                new RequestRun(
                        parts,
                        engineWaits,
                        request,
                        route.get(),
                        workspace,
                        exchange,
                        nowMillis,
                        running::remove);
        running.add(run);
        try {
            run.start();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("request %s failed unexpectedly", request.id());
            run.failUnexpectedly();
        }
        return run;
    }

    private static Refusal staleEvidence() {
        return Refusal.notRun("the configuration may be out of date", NO_EVIDENCE_RETRY_MILLIS);
    }

    private RunningRequest refuse(CallerRequest request, CallerExchange exchange, Refusal refusal) {
        parts.observer()
                .decided(
                        request.id(),
                        RequestObserver.Decision.REFUSED,
                        refusal.status() + " " + refusal.reason());
        exchange.refuse(refusal);
        return NOTHING;
    }
}
