package org.bronzewheel.measure;

import java.util.List;
import org.bronzewheel.rules.Pipeline;
import org.bronzewheel.rules.RequestClass;

/**
 * A kind of request that an experiment sends.
 *
 * @param requestClass its request class
 * @param pipeline its pipeline
 * @param stageMillis the mean service time of each stage without a cached prefix
 * @param spread the standard deviation of the logarithm of a request's size
 * @param prefillPercent the part of the last stage that a cached prefix saves, in percent
 * @param loadPercent the part of the capacity of its last pool that it asks at load 1
 */
record Kind(
        RequestClass requestClass,
        Pipeline pipeline,
        List<Double> stageMillis,
        double spread,
        int prefillPercent,
        int loadPercent) {
    double nominalMillis() {
        return stageMillis.stream().mapToDouble(Double::doubleValue).sum();
    }
}
