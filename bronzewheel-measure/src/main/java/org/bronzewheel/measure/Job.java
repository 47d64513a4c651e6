package org.bronzewheel.measure;

import java.util.function.DoubleConsumer;

/** A call at a fake worker. */
final class Job {
    final int priority;
    final long sequence;
    final long prefix;
    final double workMillis;
    final double prefillMillis;
    final DoubleConsumer onDone;
    long startedNanos = -1;
    double speed;
    double doneMillis;
    boolean ended;

    /**
     * @param priority 0 first
     * @param sequence the order of arrival
     * @param prefix the prompt's prefix, 0 for none
     * @param workMillis the work without a cached prefix, in milliseconds at full speed
     * @param prefillMillis the part of it that a cached prefix saves
     * @param onDone takes the work done, in milliseconds
     */
    Job(
            int priority,
            long sequence,
            long prefix,
            double workMillis,
            double prefillMillis,
            DoubleConsumer onDone) {
        this.priority = priority;
        this.sequence = sequence;
        this.prefix = prefix;
        this.workMillis = workMillis;
        this.prefillMillis = prefillMillis;
        this.onDone = onDone;
    }
}
