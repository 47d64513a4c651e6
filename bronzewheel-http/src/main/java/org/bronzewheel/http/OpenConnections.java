package org.bronzewheel.http;

import com.google.common.flogger.FluentLogger;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The open connections of a server, with a limit on their number.
 *
 * <p>A new connection beyond the limit takes the place of another one: of one without a completed
 * request rather than of one with, and of the one that has been silent for longest. A connection
 * with a whole request that waits for its response keeps its place; if all do, the new one is
 * closed. One whose response is still being sent gives way only if there is no other. Used on one
 * event loop only.
 */
public final class OpenConnections {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final int limit;

    /** Those without a completed request, the one that has been silent for longest first. */
    private final Set<ConnectionGuard> unanswered = new LinkedHashSet<>();

    /** Those with a completed request, in the same order. */
    private final Set<ConnectionGuard> answered = new LinkedHashSet<>();

    private long replaced;
    private long refused;

    /**
     * Creates an empty record.
     *
     * @param limit the maximum number of connections
     */
    public OpenConnections(int limit) {
        this.limit = limit;
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number
     */
    public int open() {
        return unanswered.size() + answered.size();
    }

    /**
     * Returns how many connections were closed in favor of new ones.
     *
     * @return the number since the start
     */
    public long replaced() {
        return replaced;
    }

    /**
     * Returns how many new connections were closed at once.
     *
     * @return the number since the start
     */
    public long refused() {
        return refused;
    }

    /** Adds a connection, which may close another one or itself. */
    void add(ConnectionGuard connection) {
        if (open() >= limit && !replaceOne()) {
            refused++;
            connection.close();
            return;
        }
        unanswered.add(connection);
    }

    private boolean replaceOne() {
        Optional<ConnectionGuard> victim =
                firstUnused(connection -> !connection.isSending())
                        .or(() -> firstUnused(any -> true));
        if (victim.isPresent()) {
            replaced++;
            remove(victim.get());
            victim.get().close();
        }
        logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                "too many connections: limit=%d replaced=%d refused=%d", limit, replaced, refused);
        return victim.isPresent();
    }

    private Optional<ConnectionGuard> firstUnused(Predicate<ConnectionGuard> condition) {
        return Stream.concat(unanswered.stream(), answered.stream())
                .filter(connection -> !connection.isWaiting())
                .filter(condition)
                .findFirst();
    }

    /** Called when a connection was read or has been answered. */
    void used(ConnectionGuard connection) {
        if (unanswered.remove(connection) || answered.remove(connection)) {
            Set<ConnectionGuard> group = connection.hasBeenAnswered() ? answered : unanswered;
            group.add(connection);
        }
    }

    void remove(ConnectionGuard connection) {
        unanswered.remove(connection);
        answered.remove(connection);
    }
}
