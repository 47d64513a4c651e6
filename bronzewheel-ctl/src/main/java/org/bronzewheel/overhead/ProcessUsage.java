package org.bronzewheel.overhead;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.util.stream.LongStream;

/**
 * What the process has used.
 *
 * @param processorNanos processor time of all threads, in nanoseconds
 * @param allocatedBytes bytes allocated by the threads that still live
 */
record ProcessUsage(long processorNanos, long allocatedBytes) {
    static ProcessUsage now() {
        OperatingSystemMXBean system =
                ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        ThreadMXBean threads = ManagementFactory.getPlatformMXBean(ThreadMXBean.class);
        long[] allocated = threads.getThreadAllocatedBytes(threads.getAllThreadIds());
        long bytes = LongStream.of(allocated).filter(value -> value > 0).sum();
        return new ProcessUsage(system.getProcessCpuTime(), bytes);
    }

    ProcessUsage minus(ProcessUsage earlier) {
        return new ProcessUsage(
                processorNanos - earlier.processorNanos, allocatedBytes - earlier.allocatedBytes);
    }
}
