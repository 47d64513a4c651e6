package org.bronzewheel.catalog;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One version of the operator configuration, with the lookups that request handling needs. */
public final class Catalog {
    private final long version;
    private final List<ServiceRoute> routes;
    private final CallerAccess access;
    private final CallerLimits limits;
    private final Map<String, List<ServiceRoute>> routesByHost = new HashMap<>();
    private final Map<String, ServiceEntry> services = new HashMap<>();
    private final Map<String, WorkspaceEntry> workspacesByKey = new HashMap<>();
    private final EffectiveRanks ranks;

    /**
     * Creates a catalog.
     *
     * @param version the version, which increases with each change
     * @param routes the routes
     * @param services the services
     * @param access admits callers to routes that are not open
     * @param limits the limits for callers
     */
    public Catalog(
            long version,
            List<ServiceRoute> routes,
            List<ServiceEntry> services,
            CallerAccess access,
            CallerLimits limits) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.access = access;
        this.limits = limits;
        this.ranks = new EffectiveRanks(this.routes, access.workspaces());
        for (ServiceRoute route : routes) {
            routesByHost
                    .computeIfAbsent(route.host().toLowerCase(Locale.ROOT), h -> new ArrayList<>())
                    .add(route);
        }
        Comparator<ServiceRoute> longestFirst =
                Comparator.comparingInt(route -> -route.prefix().length());
        routesByHost.values().forEach(list -> list.sort(longestFirst));
        services.forEach(service -> this.services.put(service.name(), service));
        for (WorkspaceEntry workspace : access.workspaces()) {
            workspace.keys().forEach(key -> workspacesByKey.put(key, workspace));
        }
    }

    /**
     * Returns the version.
     *
     * @return the version, which increases with each change
     */
    public long version() {
        return version;
    }

    /**
     * Returns the limits for callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns all routes.
     *
     * @return the routes in the order of the configuration
     */
    public List<ServiceRoute> routes() {
        return routes;
    }

    /**
     * Returns all services.
     *
     * @return the services in unspecified order
     */
    public List<ServiceEntry> services() {
        return List.copyOf(services.values());
    }

    /**
     * Returns the rule by which callers are admitted.
     *
     * @return the rule, with all workspaces
     */
    public CallerAccess access() {
        return access;
    }

    /**
     * Returns the ranks of requests.
     *
     * @return the ranks by workspace and route
     */
    public EffectiveRanks ranks() {
        return ranks;
    }

    /**
     * Finds the route with the longest matching path prefix.
     *
     * @param host the host of the request, without a port
     * @param path the path without the query
     * @return the route, or empty if no route matches
     */
    public Optional<ServiceRoute> route(String host, String path) {
        return routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of()).stream()
                .filter(route -> path.startsWith(route.prefix()))
                .findFirst();
    }

    /**
     * Finds a service.
     *
     * @param name the name of the service
     * @return the service, or empty if it is unknown
     */
    public Optional<ServiceEntry> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds the workspace that an API key belongs to.
     *
     * @param key the API key of a caller
     * @return the workspace, or empty if the key is unknown
     */
    public Optional<WorkspaceEntry> workspace(String key) {
        return Optional.ofNullable(workspacesByKey.get(key));
    }

    /**
     * Returns whether requests to a route require an API key.
     *
     * @param route the route
     * @return whether a key is required; true if the configuration may require one
     */
    public boolean needsKey(ServiceRoute route) {
        return access.rule() != CallerAccess.Rule.ANY_CALLER && !route.open();
    }
}
