package org.bronzewheel.logging;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

class LoggingTest {
    @Test
    void rateIsLimitedPerKindAndDroppedLinesAreCounted() {
        LogRateLimiter limiter = new LogRateLimiter(10);
        int written = 0;
        for (int i = 0; i < 1_000; i++) {
            written += limiter.tryAcquire("flood", 500) ? 1 : 0;
        }
        assertThat(written).isEqualTo(10);
        assertThat(limiter.tryAcquire("other", 500)).isTrue();
        assertThat(limiter.drainDropped()).containsExactly("flood", 990);
        assertThat(limiter.tryAcquire("flood", 1_600)).isTrue();
    }

    @Test
    void blockedOutputDoesNotBlockLoggingThreads() {
        CountDownLatch blocked = new CountDownLatch(1);
        OutputStream output =
                new OutputStream() {
                    @Override
                    public void write(int b) {
                        try {
                            blocked.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    }
                };
        QueuedLogHandler handler =
                new QueuedLogHandler(
                        new JsonLogFormatter("vm"),
                        new PrintStream(output, true, StandardCharsets.UTF_8));
        for (int i = 0; i < 10_000; i++) {
            handler.publish(new LogRecord(Level.INFO, "line"));
        }
        handler.close();
        blocked.countDown();
    }

    @Test
    void linesAreWrittenInOrder() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        QueuedLogHandler handler =
                new QueuedLogHandler(
                        new JsonLogFormatter("vm"),
                        new PrintStream(output, true, StandardCharsets.UTF_8));
        handler.publish(new LogRecord(Level.INFO, "first"));
        handler.publish(new LogRecord(Level.INFO, "second"));
        handler.flush();
        String text = output.toString(StandardCharsets.UTF_8);
        assertThat(text.indexOf("first")).isLessThan(text.indexOf("second"));
        assertThat(text.lines().count()).isEqualTo(2);
    }
}
