package org.bronzewheel.overhead;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;

/**
 * The router's own cost: the same calls sent to the stand-in directly and through a router.
 *
 * @param direct calls sent directly
 * @param routed calls sent through the router
 */
public record OverheadReport(Summary direct, Summary routed) {
    /**
     * What one kind of calls took.
     *
     * @param medianMicros median latency, in microseconds
     * @param tailMicros latency at the 99th percentile, in microseconds
     * @param callsPerSecond throughput, in calls a second
     * @param processorMicrosPerCall processor time of client, router and stand-in, in microseconds
     * @param allocatedBytesPerCall bytes allocated by client, router and stand-in
     */
    public record Summary(
            double medianMicros,
            double tailMicros,
            double callsPerSecond,
            double processorMicrosPerCall,
            double allocatedBytesPerCall) {
        static Summary of(PhaseCost cost) {
            return new Summary(
                    cost.medianMicros(),
                    cost.tailMicros(),
                    cost.callsPerSecond(),
                    cost.processorMicrosPerCall(),
                    cost.allocatedBytesPerCall());
        }

        private String row(String kind) {
            return String.format(
                    Locale.ROOT,
                    "%-8s %10.0f %10.0f %10.0f %14.1f %16.0f%n",
                    kind,
                    medianMicros,
                    tailMicros,
                    callsPerSecond,
                    processorMicrosPerCall,
                    allocatedBytesPerCall);
        }

        private ObjectNode json() {
            return JsonNodeFactory.instance
                    .objectNode()
                    .put("medianMicros", medianMicros)
                    .put("tailMicros", tailMicros)
                    .put("callsPerSecond", callsPerSecond)
                    .put("processorMicrosPerCall", processorMicrosPerCall)
                    .put("allocatedBytesPerCall", allocatedBytesPerCall);
        }
    }

    /**
     * Returns the processor time that the router adds to a call.
     *
     * @return microseconds
     */
    public double addedProcessorMicros() {
        return routed.processorMicrosPerCall() - direct.processorMicrosPerCall();
    }

    /**
     * Returns the requests a second that one core of a router serves.
     *
     * @return requests a second
     */
    public double requestsPerSecondPerCore() {
        return 1e6 / addedProcessorMicros();
    }

    /**
     * Returns the report as a table.
     *
     * @return lines of text
     */
    public String table() {
        String header =
                String.format(
                        Locale.ROOT,
                        "%-8s %10s %10s %10s %14s %16s%n",
                        "calls",
                        "median us",
                        "p99 us",
                        "calls/s",
                        "cpu us/call",
                        "bytes/call");
        String added =
                String.format(
                        Locale.ROOT,
                        "a router adds: median %.0f us, p99 %.0f us, %.1f us of processor time and"
                                + " %.0f bytes a request; %.0f requests/s per core%n",
                        routed.medianMicros() - direct.medianMicros(),
                        routed.tailMicros() - direct.tailMicros(),
                        addedProcessorMicros(),
                        routed.allocatedBytesPerCall() - direct.allocatedBytesPerCall(),
                        requestsPerSecondPerCore());
        return header + direct.row("direct") + routed.row("routed") + added;
    }

    /**
     * Returns the report as JSON.
     *
     * @return one object
     */
    public ObjectNode json() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.set("direct", direct.json());
        json.set("routed", routed.json());
        json.put("requestsPerSecondPerCore", requestsPerSecondPerCore());
        return json;
    }
}
