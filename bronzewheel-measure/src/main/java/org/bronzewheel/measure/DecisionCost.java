package org.bronzewheel.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.bronzewheel.admission.AdmissionQueue;
import org.bronzewheel.admission.AdmissionRequest;
import org.bronzewheel.admission.Queued;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.routing.ChoiceContext;
import org.bronzewheel.routing.OpenCall;
import org.bronzewheel.routing.RoutingSettings;
import org.bronzewheel.routing.WorkerTable;
import org.bronzewheel.rules.RequestClass;

/**
 * A measurement in real time of what one decision costs; its figures differ from run to run, only
 * their growth is compared.
 */
final class DecisionCost {
    private static final List<Integer> WORKERS = List.of(10, 100, 600);
    private static final List<Integer> WORKSPACES = List.of(5, 500, 5_200);
    private static final int WARM_UP_ROUNDS = 300_000;
    private static final int ROUNDS = 1_000_000;
    private static final int QUEUED = 10_400;
    private static final int OPEN_CALLS = 64;
    private static final long FAR_NANOS = Long.MAX_VALUE / 2;
    private static final RequestClass CLASS = new RequestClass("standard", 1, 3_000, 10, 0);

    private DecisionCost() {}

    static ExperimentResult run(long seed) {
        List<Row> rows = new ArrayList<>();
        List<Target> targets = new ArrayList<>();
        Map<Integer, Double> choice = new LinkedHashMap<>();
        WORKERS.forEach(n -> choice.put(n, choiceNanos(n, seed)));
        Map<Integer, Double> admission = new LinkedHashMap<>();
        WORKSPACES.forEach(n -> admission.put(n, admissionNanos(n, seed)));
        add("choice", choice, rows, targets);
        add("admission", admission, rows, targets);
        return new ExperimentResult("decision-cost", seed, rows, targets);
    }

    private static void add(
            String name, Map<Integer, Double> nanos, List<Row> rows, List<Target> targets) {
        int smallest = nanos.keySet().iterator().next();
        int largest = smallest;
        for (Map.Entry<Integer, Double> entry : nanos.entrySet()) {
            Map<String, Double> figures = Map.of("nanos", entry.getValue());
            rows.add(new Row(name, Integer.toString(entry.getKey()), 0, "NONE", figures));
            largest = entry.getKey();
        }
        double growth = nanos.get(largest) / nanos.get(smallest);
        double logarithm = Math.log(largest) / Math.log(smallest);
        targets.add(Target.atMost(name + " growth against the logarithm", growth, logarithm));
    }

    private static double choiceNanos(int size, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        WorkerTable table = new WorkerTable(OPEN_CALLS, 1, RoutingSettings.defaults());
        for (int i = 0; i < size; i++) {
            table.add(
                    new Upstream("worker-" + i, "vm", "127.0.0.1:1", "domain-" + i % 5), false, 0);
        }
        List<OpenCall> open = new ArrayList<>();
        for (int i = 0; i < OPEN_CALLS; i++) {
            open.add(table.onStart(choose(table, i, random), i));
        }
        long begin = 0;
        for (int i = 0; i < WARM_UP_ROUNDS + ROUNDS; i++) {
            begin = i == WARM_UP_ROUNDS ? System.nanoTime() : begin;
            table.onEnd(open.get(i % OPEN_CALLS), Outcome.ANSWERED, 1, i);
            open.set(i % OPEN_CALLS, table.onStart(choose(table, i, random), i));
        }
        return (double) (System.nanoTime() - begin) / ROUNDS;
    }

    private static Upstream choose(WorkerTable table, long now, SplittableRandom random) {
        return table.choose(ChoiceContext.ANY, now, random).orElseThrow();
    }

    private static double admissionNanos(int workspaces, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        AdmissionQueue<Integer> queue = new AdmissionQueue<>(2 * QUEUED, w -> 1);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < workspaces; i++) {
            names.add("workspace-" + i);
        }
        for (int i = 0; i < QUEUED; i++) {
            offer(queue, names.get(i % workspaces), i);
        }
        long begin = 0;
        for (int i = 0; i < WARM_UP_ROUNDS + ROUNDS; i++) {
            begin = i == WARM_UP_ROUNDS ? System.nanoTime() : begin;
            Queued<Integer> head = queue.heads().get(0);
            queue.dequeue(head, i);
            offer(queue, names.get(random.nextInt(workspaces)), i);
        }
        return (double) (System.nanoTime() - begin) / ROUNDS;
    }

    private static void offer(AdmissionQueue<Integer> queue, String workspace, int i) {
        queue.enqueue(i, new AdmissionRequest(CLASS, workspace, FAR_NANOS + i, 0, 1e6), i);
    }
}
