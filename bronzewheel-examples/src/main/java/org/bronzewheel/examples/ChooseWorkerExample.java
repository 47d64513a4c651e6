package org.bronzewheel.examples;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.routing.ChoiceContext;
import org.bronzewheel.routing.OpenCall;
import org.bronzewheel.routing.RoutingSettings;
import org.bronzewheel.routing.WorkerTable;

/** Example of load balancing over a pool in which one upstream fails all calls. */
public final class ChooseWorkerExample {
    private static final int CONCURRENCY = 8;
    private static final int CALLS = 300;
    private static final long CALL_NANOS = 10_000_000;
    private static final long SEED = 1;

    private ChooseWorkerExample() {}

    /**
     * Runs the example.
     *
     * @param args not used
     */
    public static void main(String[] args) {
        run(System.out);
    }

    /**
     * Simulates the calls one after the other on a simulated clock.
     *
     * @param out the stream to which the counts are printed
     * @return the number of calls per upstream name
     */
    public static Map<String, Integer> run(PrintStream out) {
        WorkerTable table = new WorkerTable(CONCURRENCY, 1, RoutingSettings.defaults());
        List<String> names = List.of("encoder-1", "encoder-2", "encoder-3");
        names.forEach(name -> table.add(upstream(name), false, 0));

        Map<String, Integer> counts = new TreeMap<>();
        RandomGenerator random = new SplittableRandom(SEED);
        long nowNanos = 0;
        for (int i = 0; i < CALLS; i++) {
            Optional<Upstream> chosen = table.choose(ChoiceContext.ANY, nowNanos, random);
            if (chosen.isPresent()) {
                simulateCall(table, chosen.get(), nowNanos);
                counts.merge(chosen.get().name(), 1, Integer::sum);
            }
            nowNanos += CALL_NANOS;
        }
        counts.forEach((name, count) -> out.println(name + " got " + count + " calls"));
        return counts;
    }

    private static void simulateCall(WorkerTable table, Upstream upstream, long nowNanos) {
        OpenCall call = table.onStart(upstream, nowNanos);
        boolean fails = upstream.name().equals("encoder-3");
        Outcome outcome = fails ? Outcome.FAILED : Outcome.ANSWERED;
        table.onEnd(call, outcome, 1, nowNanos + CALL_NANOS);
    }

    private static Upstream upstream(String name) {
        return new Upstream(name, "vm-" + name, "127.0.0.1:9000", "north-a");
    }
}
