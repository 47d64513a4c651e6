package org.bronzewheel.membership;

import static com.google.common.truth.Truth.assertThat;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import org.bronzewheel.document.DocumentVersion;
import org.bronzewheel.vm.Vm;
import org.junit.jupiter.api.Test;

/**
 * Measures membership and the relays at several fleet sizes, in virtual time; run by name, not as a
 * part of the tests. The table goes to the standard output.
 */
class FleetMeasurement {
    private static final long SEED = 20_261_203;
    private static final int[] SIZES = {3, 9, 30, 100, 390};
    private static final int LARGEST = 390;
    private static final int UPSTREAMS_AT_LARGEST = 600;
    private static final int DOMAINS = 5;
    private static final int SMALL_FLEET_DOMAINS = 3;
    private static final int REPETITIONS = 5;
    private static final int CONFIGURATION_BYTES = 64_000;
    private static final int STEADY_SECONDS = 60;
    private static final double LOSS = 0.1;
    private static final long LIMIT_MILLIS = 120_000;

    /** Number of platform reads so far. */
    private record Reads(long ofList, long ofConfiguration) {
        static Reads of(VirtualFleet fleet) {
            return new Reads(fleet.listPlatform.reads(), fleet.configurationPlatform.reads());
        }

        String since(Reads before, int seconds) {
            return String.format(
                    Locale.ROOT,
                    "%.1f, %.1f",
                    (double) (ofList - before.ofList) / seconds,
                    (double) (ofConfiguration - before.ofConfiguration) / seconds);
        }
    }

    public static void main(String[] sizes) {
        print(Arrays.stream(sizes).mapToInt(Integer::parseInt).toArray());
    }

    @Test
    void printsATable() {
        print(SIZES);
    }

    private static void print(int[] sizes) {
        System.out.println(
                "| routers | messages/s | bytes/s | ms CPU/s | KB heap | platform reads/s: list,"
                        + " configuration | the same in an outage | cold start, s | configuration"
                        + " in force, s: median, worst | with 10% loss | list in force, s:"
                        + " median, worst | content bytes sent per configuration byte | death"
                        + " suspected, s: median, worst |");
        System.out.println(
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (int size : sizes) {
            System.out.println(row(size));
        }
    }

    private static String row(int size) {
        int domains = size < DOMAINS * 2 ? SMALL_FLEET_DOMAINS : DOMAINS;
        VirtualFleet fleet =
                new VirtualFleet(SEED, size, domains, UPSTREAMS_AT_LARGEST * size / LARGEST);
        fleet.stopRecordingViews();
        fleet.network.setDelay(500, 5_000);
        DocumentVersion first = fleet.publishConfiguration(1, CONFIGURATION_BYTES);
        fleet.startAll();
        long coldMillis = fleet.runUntil(r -> first.equals(r.configuration()), LIMIT_MILLIS);
        fleet.network.runFor(30_000);

        long messages = fleet.messages();
        long bytes = fleet.bytes();
        Reads reads = Reads.of(fleet);
        long cpuNanos = cpuNanos();
        fleet.network.runFor(STEADY_SECONDS * 1_000L);
        double perRouter = 1.0 / size / STEADY_SECONDS;
        double steadyMessages = (fleet.messages() - messages) * perRouter;
        double steadyBytes = (fleet.bytes() - bytes) * perRouter;
        double cpuMillis = (cpuNanos() - cpuNanos) / 1e6 * perRouter;
        String steadyReads = Reads.of(fleet).since(reads, STEADY_SECONDS);
        long heapKilobytes = usedHeapBytes() / 1_000 / size;

        List<Long> configurations = new ArrayList<>();
        bytes = fleet.bytes();
        long startNanos = fleet.network.nowNanos();
        for (int i = 0; i < REPETITIONS; i++) {
            configurations.add(changeConfiguration(fleet, i + 2L));
        }
        double seconds = (fleet.network.nowNanos() - startNanos) / 1e9;
        double contentBytes = (fleet.bytes() - bytes) / (double) size - steadyBytes * seconds;
        double perByte = contentBytes / REPETITIONS / CONFIGURATION_BYTES;

        List<Long> lists = new ArrayList<>();
        List<Long> deaths = new ArrayList<>();
        for (int i = 0; i < REPETITIONS; i++) {
            lists.add(changeList(fleet));
            deaths.add(killOne(fleet, i % size));
        }
        String outageReads = readsInAnOutage(fleet);
        fleet.network.setFaults(LOSS, 0);
        List<Long> lossy = new ArrayList<>();
        for (int i = 0; i < REPETITIONS; i++) {
            lossy.add(changeConfiguration(fleet, REPETITIONS + 2L + i));
        }
        return String.format(
                Locale.ROOT,
                "| %d | %.1f | %.0f | %.2f | %d | %s | %s | %.1f | %s | %s | %s | %.2f | %s |",
                size,
                steadyMessages,
                steadyBytes,
                cpuMillis,
                heapKilobytes,
                steadyReads,
                outageReads,
                coldMillis / 1e3,
                summary(configurations),
                summary(lossy),
                summary(lists),
                perByte,
                summary(deaths));
    }

    private static long changeConfiguration(VirtualFleet fleet, long revision) {
        DocumentVersion version = fleet.publishConfiguration(revision, CONFIGURATION_BYTES);
        long millis = fleet.runUntil(r -> version.equals(r.configuration()), LIMIT_MILLIS);
        fleet.network.runFor(5_000 + revision * 130);
        return millis;
    }

    private static long changeList(VirtualFleet fleet) {
        fleet.changeList(FleetMeasurement::unchanged);
        long revision = fleet.list().revision();
        long millis = fleet.runUntil(r -> r.view().list().revision() == revision, LIMIT_MILLIS);
        fleet.network.runFor(5_000);
        return millis;
    }

    private static Vm unchanged(Vm vm) {
        return vm;
    }

    /** Kills a router, measures the time until all others suspect it, and starts it again. */
    private static long killOne(VirtualFleet fleet, int index) {
        String vmId = VirtualFleet.vmId(index);
        fleet.kill(vmId);
        long millis = fleet.runUntil(r -> r.healthOf(vmId) == MemberHealth.SUSPECT, LIMIT_MILLIS);
        fleet.start(vmId);
        fleet.network.runFor(20_000);
        assertThat(fleet.routers).hasSize(fleet.list().routers().size());
        return millis;
    }

    private static String summary(List<Long> millis) {
        Collections.sort(millis);
        double median = millis.get(millis.size() / 2) / 1e3;
        double worst = millis.get(millis.size() - 1) / 1e3;
        return String.format(Locale.ROOT, "%.2f, %.2f", median, worst);
    }

    private static String readsInAnOutage(VirtualFleet fleet) {
        fleet.listPlatform.setUp(false);
        fleet.configurationPlatform.setUp(false);
        fleet.network.runFor(60_000);
        Reads before = Reads.of(fleet);
        fleet.network.runFor(STEADY_SECONDS * 1_000L);
        String reads = Reads.of(fleet).since(before, STEADY_SECONDS);
        fleet.listPlatform.setUp(true);
        fleet.configurationPlatform.setUp(true);
        fleet.network.runFor(30_000);
        return reads;
    }

    private static long usedHeapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static long cpuNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
