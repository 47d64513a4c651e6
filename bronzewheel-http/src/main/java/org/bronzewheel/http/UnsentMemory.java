package org.bronzewheel.http;

import com.google.common.flogger.FluentLogger;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The memory of responses that were written and that callers have not read yet, with a limit for
 * all connections. When the limit is reached, the connection that has sent nothing for longest is
 * closed, unless it is the only one. Used on one event loop only.
 */
public final class UnsentMemory {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final long limitBytes;
    private final LongSupplier nanoTime;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private long occupiedBytes;
    private long closedConnections;

    /**
     * Creates an empty record.
     *
     * @param limitBytes the memory that all unsent responses may occupy, in bytes
     */
    public UnsentMemory(long limitBytes) {
        this(limitBytes, System::nanoTime);
    }

    UnsentMemory(long limitBytes, LongSupplier nanoTime) {
        this.limitBytes = limitBytes;
        this.nanoTime = nanoTime;
    }

    /**
     * Returns the memory that unsent responses occupy.
     *
     * @return the number of bytes
     */
    public long occupiedBytes() {
        return occupiedBytes;
    }

    /**
     * Returns how many connections were closed because they had sent nothing for longest when the
     * limit was reached.
     *
     * @return the number since the start
     */
    public long closedConnections() {
        return closedConnections;
    }

    /** The unsent bytes of one connection. */
    final class Connection {
        private final LongSupplier pendingBytes;
        private final Runnable close;
        private long bytes;
        private long progressNanos;
        private boolean closed;

        private Connection(LongSupplier pendingBytes, Runnable close) {
            this.pendingBytes = pendingBytes;
            this.close = close;
        }

        /** Called when bytes were written, which may close this or another connection. */
        void written() {
            measure(true);
            makeRoom();
        }

        /** Called when bytes may have been sent. */
        void sent() {
            measure(false);
        }

        /** Called when the connection has been closed. */
        void closed() {
            closed = true;
            occupiedBytes -= bytes;
            bytes = 0;
            connections.remove(this);
        }

        private void measure(boolean written) {
            if (closed) {
                return;
            }
            long pending = pendingBytes.getAsLong();
            if (pending < bytes || (written && bytes == 0)) {
                progressNanos = nanoTime.getAsLong();
            }
            occupiedBytes += pending - bytes;
            bytes = pending;
            if (pending > 0) {
                connections.add(this);
            } else {
                connections.remove(this);
            }
        }
    }

    /**
     * Adds a connection.
     *
     * @param pendingBytes supplies the number of its unsent bytes
     * @param close closes it
     */
    Connection add(LongSupplier pendingBytes, Runnable close) {
        return new Connection(pendingBytes, close);
    }

    private void makeRoom() {
        if (occupiedBytes <= limitBytes) {
            return;
        }
        Set.copyOf(connections).forEach(Connection::sent);
        while (occupiedBytes > limitBytes && connections.size() > 1) {
            long nowNanos = nanoTime.getAsLong();
            Connection slowest =
                    connections.stream()
                            .max(
                                    Comparator.comparingLong(
                                            connection -> nowNanos - connection.progressNanos))
                            .orElseThrow();
            closedConnections++;
            logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "closing the connection that has sent nothing for longest: unsentBytes=%d"
                            + " limit=%d",
                    slowest.bytes, limitBytes);
            slowest.closed();
            slowest.close.run();
        }
    }
}
