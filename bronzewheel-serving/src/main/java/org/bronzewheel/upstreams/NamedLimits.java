package org.bronzewheel.upstreams;

import com.google.common.flogger.FluentLogger;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.Collectors;

/**
 * The limits that upstreams name in their answers, by the id of the upstream.
 *
 * <p>A limit is in force until a later answer names another one or none. It outlasts the entry of
 * its upstream, as an entry may lapse and come back. Owned by the serving loop.
 */
public final class NamedLimits {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MOST_STATEMENTS = 10_000;
    private static final int MOST_TOLD = 50;
    private static final long TOLD_MILLIS = 10_000;

    private final Map<String, LimitStatement> statements = new HashMap<>();

    /**
     * Takes what an answer of the upstream says.
     *
     * <p>An answer may be overtaken by a later one, so one to a request that was sent before the
     * limit was heard of does not raise or end it.
     *
     * @param id the upstream
     * @param limit what the answer says
     * @param sentMillis when its request was sent, in milliseconds of the steady clock
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void answered(String id, NamedLimit limit, long sentMillis, long nowMillis) {
        OptionalDouble named = limit.perSecond();
        OptionalDouble known = perSecond(id);
        if (!limit.readable() || (named.isEmpty() && known.isEmpty())) {
            return;
        }
        boolean tightens =
                named.isPresent() && named.getAsDouble() <= known.orElse(named.getAsDouble());
        if (tightens || sentMillis >= statements.get(id).heardMillis()) {
            put(id, new LimitStatement(named, nowMillis), "an answer");
        }
    }

    /**
     * Takes what another router heard of the upstream.
     *
     * @param id the upstream
     * @param statement what it heard, and when
     */
    public void learned(String id, LimitStatement statement) {
        LimitStatement known = statements.get(id);
        if (known == null || statement.heardMillis() > known.heardMillis()) {
            put(id, statement, "a router");
        }
    }

    private void put(String id, LimitStatement statement, String source) {
        if (statements.size() >= MOST_STATEMENTS && !statements.containsKey(id)) {
            logger.atWarning().log("too many limits are known; dropped: id=%s", id);
            return;
        }
        LimitStatement before = statements.put(id, statement);
        boolean changed = before == null || !before.perSecond().equals(statement.perSecond());
        if (changed && (before != null || statement.perSecond().isPresent())) {
            logger.atInfo().log(
                    "upstream limit: id=%s perSecond=%s heard from %s",
                    id, describe(statement.perSecond()), source);
        }
    }

    /**
     * Describes a limit for logs.
     *
     * @param perSecond the limit in requests a second
     * @return its number, or "none"
     */
    public static String describe(OptionalDouble perSecond) {
        return perSecond.isPresent() ? Double.toString(perSecond.getAsDouble()) : "none";
    }

    /**
     * Returns the limit of an upstream.
     *
     * @param id the upstream
     * @return the requests a second that it takes from all routers together; empty without a limit
     */
    public OptionalDouble perSecond(String id) {
        LimitStatement known = statements.get(id);
        return known == null ? OptionalDouble.empty() : known.perSecond();
    }

    /**
     * Returns the newest statement of an upstream.
     *
     * @param id the upstream
     * @return the statement, or empty where it never named a limit
     */
    public Optional<LimitStatement> statement(String id) {
        return Optional.ofNullable(statements.get(id));
    }

    /**
     * Returns what is told to other routers: the limits, and the ends of limits, that were heard of
     * lately.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the statements by upstream, the newest ones where there are many
     */
    public Map<String, LimitStatement> recent(long nowMillis) {
        return statements.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().heardMillis() <= TOLD_MILLIS)
                .sorted(
                        Comparator.comparingLong(
                                (Map.Entry<String, LimitStatement> entry) ->
                                        -entry.getValue().heardMillis()))
                .limit(MOST_TOLD)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /**
     * Returns the number of upstreams that name a limit.
     *
     * @return the number, as far as this router knows
     */
    public int size() {
        return (int) statements.values().stream().filter(s -> s.perSecond().isPresent()).count();
    }
}
