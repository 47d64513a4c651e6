package org.bronzewheel.http;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * The memory that the heads of requests occupy in this process, with a limit for all connections.
 *
 * <p>A head inside the limit on its bytes becomes some sixty times its size in objects if it is
 * made of very short fields. When the limit is reached, the connection whose heads occupy most is
 * closed, so that callers with ordinary heads are not affected. One with a whole request that waits
 * for its response is closed only if no other occupies memory. Used on one event loop only.
 */
public final class HeadMemory {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** The objects of a decoded field and of its copy for the request to an upstream. */
    private static final long FIELD_BYTES = 256;

    /** The bytes of a field are held as text, as a copy for an upstream, and before decoding. */
    private static final long BYTE_COPIES = 3;

    private final long limitBytes;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private long occupiedBytes;
    private long closedConnections;

    /**
     * Creates an empty record.
     *
     * @param limitBytes the memory that all heads may occupy, in bytes
     */
    public HeadMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Returns the memory that heads occupy.
     *
     * @return an estimate, in bytes
     */
    public long occupiedBytes() {
        return occupiedBytes;
    }

    /**
     * Returns how many connections were closed because their heads occupied most when the limit was
     * reached.
     *
     * @return the number since the start
     */
    public long closedConnections() {
        return closedConnections;
    }

    /** The heads of one connection. */
    final class Connection {
        private final BooleanSupplier waiting;
        private final Runnable close;
        private final Deque<Long> requests = new ArrayDeque<>();
        private long unfinishedBytes;
        private long undecodedBytes;
        private long totalBytes;
        private boolean closed;

        private Connection(BooleanSupplier waiting, Runnable close) {
            this.waiting = waiting;
            this.close = close;
        }

        /**
         * Adds decoded bytes of a head or of trailers.
         *
         * @param bytes their number
         * @param fields the number of lines
         */
        void decoded(long bytes, long fields) {
            long occupied = BYTE_COPIES * bytes + FIELD_BYTES * fields;
            unfinishedBytes += occupied;
            grow(occupied);
        }

        /** Sets the number of bytes that were received and not decoded yet. */
        void setUndecoded(long bytes) {
            long growth = bytes - undecodedBytes;
            undecodedBytes = bytes;
            grow(growth);
        }

        /** Forgets lines that became no field, such as the sizes of chunks. */
        void skipped() {
            grow(-unfinishedBytes);
            unfinishedBytes = 0;
        }

        /** Called when a head is complete; its memory is occupied until its response has ended. */
        void headCompleted() {
            requests.add(unfinishedBytes);
            unfinishedBytes = 0;
        }

        /** Called when the response to the oldest request has ended. */
        void responseEnded() {
            Long bytes = requests.poll();
            if (bytes != null) {
                grow(-bytes);
            }
        }

        /** Called when the connection has been closed. */
        void closed() {
            if (!closed) {
                closed = true;
                occupiedBytes -= totalBytes;
                connections.remove(this);
            }
        }

        private void grow(long bytes) {
            if (closed || bytes == 0) {
                return;
            }
            totalBytes += bytes;
            occupiedBytes += bytes;
            if (bytes > 0) {
                makeRoom();
            }
        }
    }

    /**
     * Adds a connection.
     *
     * @param waiting returns whether a whole request of it waits for its response
     * @param close closes it if there is no room for its heads
     */
    Connection add(BooleanSupplier waiting, Runnable close) {
        Connection connection = new Connection(waiting, close);
        connections.add(connection);
        return connection;
    }

    private void makeRoom() {
        while (occupiedBytes > limitBytes && !connections.isEmpty()) {
            Connection largest =
                    largest(connection -> !connection.waiting.getAsBoolean())
                            .or(() -> largest(any -> true))
                            .orElseThrow();
            closedConnections++;
            logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "closing the connection with the largest request heads: bytes=%d limit=%d",
                    largest.totalBytes, limitBytes);
            largest.closed();
            largest.close.run();
        }
    }

    private Optional<Connection> largest(Predicate<Connection> condition) {
        return connections.stream()
                .filter(connection -> connection.totalBytes > 0)
                .filter(condition)
                .max(Comparator.comparingLong(connection -> connection.totalBytes));
    }
}
