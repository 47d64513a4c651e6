package org.bronzewheel.measure;

import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.catalog.StagePool;
import org.bronzewheel.catalog.StageStep;

/**
 * A deployment as far as the stages before its model engines go.
 *
 * @param name its name
 * @param routers its routers
 * @param failureDomains its failure domains, over which routers and upstreams are spread in turn
 * @param pools the stage services
 * @param routes the kinds of requests
 */
record StageProfile(
        String name,
        int routers,
        List<String> failureDomains,
        List<Pool> pools,
        List<StageRoute> routes) {
    private static final long RESULT_MILLIS = 4_000;

    /**
     * A stage service.
     *
     * @param service its name
     * @param upstreams the number of its upstreams
     * @param limits the limits of each
     */
    record Pool(String service, int upstreams, StagePool limits) {}

    /**
     * A kind of request.
     *
     * @param name its name
     * @param requestsPerSecond requests a second at load 1
     * @param priority its rank, 0 first
     * @param objectiveMillis the time within which an answer has its full worth, in milliseconds
     * @param deadlineMillis the time that callers wait, in milliseconds
     * @param worth what an answer within the objective is worth
     * @param lateWorth what a later one is worth
     * @param stages its stages
     * @param meanPieces the mean number of pieces of each stage
     * @param workFactors the work of a piece of each stage against what its service says
     */
    record StageRoute(
            String name,
            double requestsPerSecond,
            int priority,
            long objectiveMillis,
            long deadlineMillis,
            double worth,
            double lateWorth,
            List<StageStep> stages,
            List<Double> meanPieces,
            List<Double> workFactors) {
        private static final long LEAST_SILENCE_MILLIS = 2_000;
        private static final int SILENCE_OBJECTIVES = 4;

        /** Returns whether a request has more pieces than the mean of its route. */
        boolean isLarge(List<Integer> pieces) {
            return pieces.stream().mapToInt(Integer::intValue).sum()
                    > meanPieces.stream().mapToDouble(Double::doubleValue).sum();
        }

        /** Returns the requests of one of several workspaces, with a rank that says so. */
        private StageRoute ofWorkspace(int workspace, int workspaces, int routes) {
            return new StageRoute(
                    name + "-" + workspace,
                    requestsPerSecond / workspaces,
                    workspace * routes + priority,
                    objectiveMillis,
                    deadlineMillis,
                    worth,
                    lateWorth,
                    stages,
                    meanPieces,
                    workFactors);
        }

        /** Returns the time without an event after which callers leave, in milliseconds. */
        long callerSilenceMillis() {
            return Math.max(LEAST_SILENCE_MILLIS, SILENCE_OBJECTIVES * objectiveMillis);
        }
    }

    /** Tokachi Skyvoucher Labs, with the figures of its deployment's page. */
    static StageProfile tokachi() {
        StageStep records = new StageStep("crew-roster", List.of(), 800_000);
        return new StageProfile(
                "tokachi",
                6,
                List.of("obihiro-a", "obihiro-b", "otofuke"),
                List.of(
                        pool("crew-roster", 3, 7, 29.7143, 8.4),
                        pool("field-registry", 4, 17, 11.7647, 1.785),
                        pool("gift-shop", 4, 24, 8.51667, 0.274286)),
                List.of(
                        new StageRoute(
                                "itinerary-draft",
                                5.14,
                                0,
                                1_400,
                                15_000,
                                6.3,
                                0.94,
                                List.of(records),
                                List.of(1.75),
                                List.of(1.0)),
                        new StageRoute(
                                "pilot-brief",
                                11.4,
                                1,
                                2_500,
                                15_000,
                                0.91,
                                0.14,
                                chain("crew-roster", "field-registry", "gift-shop", 0),
                                List.of(1.0, 4.0, 6.0),
                                List.of(0.3, 1.0, 1.0)),
                        new StageRoute(
                                "wind-tag",
                                7.87,
                                2,
                                3_000,
                                6_000,
                                0.44,
                                0.066,
                                beside(
                                        records,
                                        chain("crew-roster", "field-registry", "gift-shop", 1)),
                                List.of(0.6, 1.0, 4.0, 6.0),
                                List.of(1.0, 0.3, 1.0, 1.0))));
    }

    /** Ikaze Handbooks, with the figures of its deployment's page. */
    static StageProfile ikaze() {
        return new StageProfile(
                "ikaze",
                9,
                List.of("kgl-a", "kgl-b", "kgl-c", "kgl-d"),
                List.of(
                        pool("hr-sync", 4, 12, 17.5, 14.5714),
                        pool("notify", 4, 47, 4.36596, 5.13519),
                        pool("audit-log", 4, 35, 5.82857, 0.39375)),
                ikazeRoutes(10.2, 16.9, 16.6));
    }

    /** Ikaze Handbooks with 91 routers, with the figures of that deployment's page. */
    static StageProfile ikazeGrown() {
        return new StageProfile(
                "ikaze-grown",
                91,
                List.of("kgl-a", "kgl-b", "kgl-c", "kgl-d", "kgl-e"),
                List.of(
                        pool("hr-sync", 12, 14, 15, 17),
                        pool("notify", 10, 63, 3.2381, 6.93),
                        pool("audit-log", 13, 37, 5.54595, 0.399211)),
                ikazeRoutes(32.1, 52.9, 52.1));
    }

    /** One stage service whose requests differ much in size and deadline; not a deployment. */
    static StageProfile uneven() {
        List<StageStep> stages = List.of(new StageStep("render", List.of(), 10_000));
        return new StageProfile(
                "uneven",
                6,
                List.of("a", "b", "c"),
                List.of(pool("render", 4, 12, 17.5, 100)),
                List.of(
                        unevenRoute("lookup", 10, 0, 1_500, 6_000, 1, stages),
                        unevenRoute("digest", 6, 1, 2_500, 12_000, 6, stages),
                        unevenRoute("report", 1.5, 2, 4_000, 15_000, 12, stages)));
    }

    private static StageRoute unevenRoute(
            String name,
            double requestsPerSecond,
            int priority,
            long objectiveMillis,
            long deadlineMillis,
            double meanPieces,
            List<StageStep> stages) {
        return new StageRoute(
                name,
                requestsPerSecond,
                priority,
                objectiveMillis,
                deadlineMillis,
                1,
                0.15,
                stages,
                List.of(meanPieces),
                List.of(1.0));
    }

    private static List<StageRoute> ikazeRoutes(
            double digestsPerSecond, double questionsPerSecond, double lookupsPerSecond) {
        StageStep records = new StageStep("hr-sync", List.of(), 800_000);
        return List.of(
                new StageRoute(
                        "policy-digest",
                        digestsPerSecond,
                        1,
                        2_500,
                        20_000,
                        4.6,
                        0.69,
                        beside(records, chain("hr-sync", "notify", "audit-log", 1)),
                        List.of(0.6, 1.0, 8.0, 6.0),
                        List.of(1.0, 0.3, 1.0, 1.0)),
                new StageRoute(
                        "staff-question",
                        questionsPerSecond,
                        0,
                        2_000,
                        15_000,
                        1.9,
                        0.28,
                        chain("hr-sync", "notify", "audit-log", 0),
                        List.of(1.0, 8.0, 6.0),
                        List.of(0.3, 1.0, 1.0)),
                new StageRoute(
                        "clause-lookup",
                        lookupsPerSecond,
                        2,
                        990,
                        4_000,
                        0.46,
                        0.069,
                        List.of(records),
                        List.of(1.75),
                        List.of(1.0)));
    }

    private static Pool pool(
            String service, int upstreams, int batch, double pieceMillis, double roomMegabytes) {
        return new Pool(
                service,
                upstreams,
                new StagePool(
                        1,
                        2,
                        batch,
                        240,
                        pieceMillis,
                        Math.round(roomMegabytes * 1_000_000),
                        RESULT_MILLIS));
    }

    private static List<StageStep> chain(String first, String second, String third, int offset) {
        return List.of(
                new StageStep(first, List.of(), 8_000),
                new StageStep(second, List.of(offset), 60_000),
                new StageStep(third, List.of(offset + 1), 6_000));
    }

    private static List<StageStep> beside(StageStep branch, List<StageStep> chain) {
        return List.of(branch, chain.get(0), chain.get(1), chain.get(2));
    }

    /** Returns the deployment with its requests spread evenly over workspaces. */
    StageProfile withWorkspaces(int workspaces) {
        List<StageRoute> all = new ArrayList<>();
        for (int workspace = 0; workspace < workspaces; workspace++) {
            for (StageRoute route : routes) {
                all.add(route.ofWorkspace(workspace, workspaces, routes.size()));
            }
        }
        return new StageProfile(name, routers, failureDomains, pools, all);
    }

    StageRoute route(String routeName) {
        return routes.stream().filter(r -> r.name().equals(routeName)).findFirst().orElseThrow();
    }
}
