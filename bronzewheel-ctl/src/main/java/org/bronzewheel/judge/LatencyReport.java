package org.bronzewheel.judge;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.bronzewheel.traffic.RequestResult;
import org.bronzewheel.traffic.SendLine;

/**
 * Percentiles of the time to a whole answer by request class. The times count from the planned time
 * of each request, so that nothing is omitted while a router stalls.
 */
public final class LatencyReport {
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double[] PERCENTILES = {50, 90, 95, 99, 99.9};

    private LatencyReport() {}

    /**
     * Computes the percentiles.
     *
     * @param results what callers got
     * @return by request class: count, percentiles and largest value, in milliseconds
     */
    public static ObjectNode of(List<RequestResult> results) {
        Map<String, Histogram> byClass = new TreeMap<>();
        for (RequestResult result : results) {
            Histogram histogram =
                    byClass.computeIfAbsent(
                            result.request().kind().requestClass(),
                            name -> new Histogram(SIGNIFICANT_DIGITS));
            for (SendLine line : result.lines()) {
                if (line.last().isAnswered()) {
                    histogram.recordValue(Math.max(0, line.latencyMillis()));
                }
            }
        }
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        byClass.forEach((name, histogram) -> json.set(name, of(histogram)));
        return json;
    }

    private static ObjectNode of(Histogram histogram) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("count", histogram.getTotalCount());
        for (double percentile : PERCENTILES) {
            String name = "p" + Double.toString(percentile).replace(".0", "");
            json.put(name, histogram.getValueAtPercentile(percentile));
        }
        json.put("max", histogram.getMaxValue());
        return json;
    }
}
