package org.bronzewheel.serving;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.bronzewheel.catalog.Catalog;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.WorkspaceEntry;
import org.bronzewheel.loop.ReceiveClock;

/**
 * Entry point for requests: resolves route and workspace, refuses requests that cannot be served
 * and executes the others.
 */
public final class ServingEngine {
    private static final RunningRequest NOT_RUNNING = () -> {};
    private static final long NO_CATALOG_RETRY_MILLIS = 300;
    private static final long STALE_CATALOG_RETRY_MILLIS = 400;
    private static final long STOPPING_RETRY_MILLIS = 50;

    private final ServingContext context;
    private final ServingState shared;
    private final Set<RequestExecution> running = new HashSet<>();
    private boolean stopping;

    /**
     * Creates an engine.
     *
     * @param context its dependencies
     * @param responseMemory the memory that its responses may occupy
     */
    public ServingEngine(ServingContext context, ResponseMemory responseMemory) {
        this.context = context;
        this.shared =
                new ServingState(
                        new FirstEventWaits(),
                        new AnswerTimes(),
                        new ReceiveClock(context.loop()),
                        new StopPlan(),
                        responseMemory);
        context.quarantine().onQuarantine(() -> context.loop().execute(this::endQuarantined));
    }

    private void endQuarantined() {
        List.copyOf(running).forEach(execution -> execution.guard(execution::endIfQuarantined));
    }

    /**
     * Serves only requests that can be completed before this router exits.
     *
     * @param exitAtMillis the time of the exit, in milliseconds of the steady clock
     */
    void exitAt(long exitAtMillis) {
        shared.stopPlan().exitAt(exitAtMillis);
    }

    /** Refuses new requests from now on; requests in progress continue. */
    public void refuseNew() {
        stopping = true;
    }

    /**
     * Ends the requests that are at no upstream and could not be completed before the exit, so that
     * their callers can go to another router.
     */
    void endHopeless() {
        List.copyOf(running).forEach(execution -> execution.guard(execution::endIfStopping));
    }

    /** Ends all requests, which would be cut off without an answer otherwise. */
    void endAll() {
        List.copyOf(running).forEach(execution -> execution.guard(execution::endAtExit));
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
     * Executes a request.
     *
     * @param request the request
     * @param exchange receives the response, possibly before this method returns
     * @return the running request, to be notified when the caller disconnects
     */
    public RunningRequest run(CallerRequest request, CallerExchange exchange) {
        long nowMillis = context.loop().nowMillis();
        Optional<Catalog> catalog = context.catalog().current();
        if (catalog.isEmpty() || !context.upstreams().isLoaded()) {
            return refuse(
                    request,
                    exchange,
                    Refusal.notRun("no configuration yet", NO_CATALOG_RETRY_MILLIS));
        }
        boolean fresh = context.catalog().acceptsKeys(context.loop().now());
        Optional<ServiceRoute> route = catalog.get().route(request.host(), request.path());
        if (route.isEmpty()) {
            return refuse(
                    request,
                    exchange,
                    fresh
                            ? Refusal.of(Refusal.NOT_FOUND, "no route takes the request")
                            : staleCatalog());
        }
        Optional<WorkspaceEntry> workspace = Optional.empty();
        if (catalog.get().needsKey(route.get())) {
            if (!fresh) {
                return refuse(request, exchange, staleCatalog());
            }
            if (!catalog.get().access().isKnown()) {
                return refuse(request, exchange, incompleteCatalog());
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
        RequestExecution execution =
                new RequestExecution(
                        context,
                        shared,
                        request,
                        route.get(),
                        workspace,
                        catalog.get().ranks().of(route.get(), workspace),
                        exchange,
                        nowMillis,
                        running::remove);
        running.add(execution);
        execution.start();
        return execution;
    }

    private static Refusal staleCatalog() {
        return Refusal.notRun("the configuration may be out of date", STALE_CATALOG_RETRY_MILLIS);
    }

    private static Refusal incompleteCatalog() {
        return Refusal.notRun(
                "the configuration does not tell whether a key is required",
                STALE_CATALOG_RETRY_MILLIS);
    }

    private RunningRequest refuse(CallerRequest request, CallerExchange exchange, Refusal refusal) {
        context.observer()
                .decided(
                        request.id(),
                        RequestObserver.Decision.REFUSED,
                        refusal.status() + " " + refusal.reason());
        exchange.refuse(refusal);
        return NOT_RUNNING;
    }
}
