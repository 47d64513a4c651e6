package org.bronzewheel.logging;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Formatter;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes log records on a separate thread, so that a blocked output does not block the logging
 * threads. Records that do not fit into the queue are dropped, and their count is logged later.
 */
final class QueuedLogHandler extends Handler {
    private static final int CAPACITY = 4_096;
    private static final long FLUSH_TIMEOUT_MILLIS = 200;

    private final BlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream output;
    private volatile boolean writing;

    QueuedLogHandler(Formatter formatter, PrintStream output) {
        this.output = output;
        setFormatter(formatter);
        Thread writer = new Thread(this::write, "log-writer");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord record) {
        if (isLoggable(record) && !queue.offer(record)) {
            dropped.incrementAndGet();
        }
    }

    private void write() {
        try {
            while (!Thread.interrupted()) {
                LogRecord record = queue.take();
                writing = true;
                output.print(getFormatter().format(record));
                writeDropped();
                writing = false;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeDropped() {
        long count = dropped.getAndSet(0);
        if (count > 0) {
            LogRecord record = new LogRecord(Level.WARNING, "log lines dropped: " + count);
            record.setLoggerName(QueuedLogHandler.class.getName());
            output.print(getFormatter().format(record));
        }
    }

    /** Waits a bounded time until the queued records are written. */
    @Override
    public void flush() {
        long deadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MILLIS);
        while ((!queue.isEmpty() || writing) && System.nanoTime() < deadlineNanos) {
            try {
                Thread.sleep(1);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    @Override
    public void close() {
        flush();
    }
}
