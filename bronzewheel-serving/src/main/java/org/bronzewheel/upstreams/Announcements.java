package org.bronzewheel.upstreams;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The announcements of upstreams in their answers: request rate limits, shutdown, pauses, and load.
 *
 * <p>A statement belongs to one process lifetime of its upstream, identified by id and start time;
 * a restart under the same id discards it. A limit applies until a later answer announces another
 * one or omits it, leaving applies until the process ends, and a pause until its end. Statements
 * are kept for a while after the entry of their upstream is removed, as an entry may expire and be
 * registered again. Confined to the serving loop.
 */
public final class Announcements {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_TRACKED_UPSTREAMS = 10_000;

    /** The maximum number of statements in one heartbeat message. */
    private static final int MAX_SHARED_STATEMENTS = 50;

    /** The time for which statements of an upstream without an entry are kept. */
    private static final long RETENTION_MILLIS = 600_000;

    /** The minimum extension of a pause that is logged, in milliseconds. */
    private static final long MIN_LOGGED_CHANGE_MILLIS = 1_000;

    private static final String OWN_ANSWER = "an answer";
    private static final String PEER_ROUTER = "a router";

    private final Map<String, AnnouncementState> states = new HashMap<>();
    private final Set<String> paused = new HashSet<>();
    private Runnable onLeaving = () -> {};

    /**
     * Sets the action that runs once an upstream announces that it is leaving.
     *
     * @param action the action
     */
    void onLeaving(Runnable action) {
        onLeaving = action;
    }

    /**
     * Returns the state of the process lifetime in an entry; that of another lifetime is discarded.
     */
    AnnouncementState stateOf(UpstreamEntry entry) {
        AnnouncementState known = states.get(entry.id());
        if (known == null || known.startedMillis() != entry.startedMillis()) {
            if (known != null && !known.isEmpty()) {
                logger.atInfo().log(
                        "upstream statements ended: id=%s reason=a new life began", entry.id());
            }
            known = new AnnouncementState(entry.id(), entry.startedMillis());
            states.put(entry.id(), known);
        }
        return known;
    }

    /**
     * Returns the state of a process lifetime, or empty if another lifetime of the id is tracked.
     */
    private Optional<AnnouncementState> state(String id, long startedMillis) {
        AnnouncementState known = states.get(id);
        if (known == null && states.size() >= MAX_TRACKED_UPSTREAMS) {
            logger.atWarning().log("too many upstreams tracked, dropping a statement: id=%s", id);
        } else if (known == null) {
            known = new AnnouncementState(id, startedMillis);
            states.put(id, known);
        }
        return Optional.ofNullable(known).filter(a -> a.startedMillis() == startedMillis);
    }

    /**
     * Applies the announcement of an answer.
     *
     * <p>Answers may arrive out of order, so an answer to a request that was sent before a
     * statement was received neither ends the statement nor raises a limit. Nor does an answer that
     * may belong to an earlier request.
     *
     * @param from the upstream that the request was sent to
     * @param announcement what its answer announces
     * @param sentMillis when the request was sent, in milliseconds of the steady clock
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void announced(
            UpstreamEntry from, Announcement announcement, long sentMillis, long nowMillis) {
        if (announcement.origin() == Announcement.Origin.MISDIRECTED) {
            return;
        }
        state(from.id(), from.startedMillis())
                .ifPresent(state -> apply(state, announcement, sentMillis, nowMillis));
    }

    private void apply(
            AnnouncementState state, Announcement announcement, long sentMillis, long nowMillis) {
        if (announcement.origin() == Announcement.Origin.GOOD && !announcement.leaving()) {
            state.recordGoodAnswer(sentMillis);
        }
        if (announcement.updatesLimit()) {
            boolean identified = announcement.origin() != Announcement.Origin.UNIDENTIFIED;
            applyLimit(
                    state,
                    announcement.limit().perSecond(),
                    identified ? sentMillis : Long.MIN_VALUE,
                    nowMillis);
        }
        if (announcement.updatesLoad()) {
            announcement.load().ifPresent(load -> state.loadReports().report(load, nowMillis));
        }
        announcement.pauseMillis().ifPresent(pause -> applyPause(state, pause, nowMillis));
        if (announcement.leaving() && !state.isLeaving()) {
            state.leave(nowMillis);
            logger.atInfo().log(
                    "upstream says it leaves: id=%s life=%d heard from %s",
                    state.id(), state.startedMillis(), OWN_ANSWER);
            onLeaving.run();
        }
    }

    private static void applyLimit(
            AnnouncementState state, OptionalDouble announced, long sentMillis, long nowMillis) {
        OptionalDouble known = state.perSecond();
        if (announced.isEmpty() && known.isEmpty()) {
            return;
        }
        boolean tightens =
                announced.isPresent()
                        && announced.getAsDouble() <= known.orElse(announced.getAsDouble());
        boolean later = state.limit().filter(limit -> sentMillis < limit.heardMillis()).isEmpty();
        if (tightens || later) {
            replaceLimit(state, new LimitStatement(announced, nowMillis), OWN_ANSWER);
        }
    }

    private static void replaceLimit(
            AnnouncementState state, LimitStatement statement, String source) {
        OptionalDouble before = state.perSecond();
        state.setLimit(statement);
        if (!before.equals(statement.perSecond())) {
            logger.atInfo().log(
                    "upstream limit: id=%s life=%d perSecond=%s heard from %s",
                    state.id(), state.startedMillis(), describe(statement.perSecond()), source);
        }
    }

    private void applyPause(AnnouncementState state, long pauseMillis, long nowMillis) {
        long beforeMillis = state.pauseRemainingMillis(nowMillis);
        state.pause(pauseMillis, nowMillis);
        long extendedMillis = state.pauseRemainingMillis(nowMillis) - beforeMillis;
        if (extendedMillis > 0
                && (paused.add(state.id()) || extendedMillis >= MIN_LOGGED_CHANGE_MILLIS)) {
            logger.atInfo().log(
                    "upstream pauses: id=%s life=%d millis=%d heard from %s",
                    state.id(), state.startedMillis(), pauseMillis, OWN_ANSWER);
        }
    }

    /**
     * Merges a statement that another router received from an upstream.
     *
     * @param statement the statement and its times of receipt
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void mergePeerStatement(PeerStatement statement, long nowMillis) {
        Optional<AnnouncementState> found =
                state(statement.upstreamId(), statement.startedMillis());
        if (found.isEmpty()) {
            return;
        }
        AnnouncementState state = found.get();
        statement
                .limit()
                .filter(limit -> isNewer(limit, state))
                .ifPresent(limit -> replaceLimit(state, limit, PEER_ROUTER));
        if (statement.leavingHeardMillis().isPresent()) {
            boolean known = state.isHintedToLeave(nowMillis);
            state.recordPeerLeaving(statement.leavingHeardMillis().getAsLong());
            if (!known && state.isHintedToLeave(nowMillis)) {
                logger.atInfo().log(
                        "upstream is said to leave: id=%s life=%d heard from %s",
                        state.id(), state.startedMillis(), PEER_ROUTER);
            }
        }
    }

    private static boolean isNewer(LimitStatement statement, AnnouncementState state) {
        return state.limit()
                .filter(known -> statement.heardMillis() <= known.heardMillis())
                .isEmpty();
    }

    /**
     * Returns whether an upstream announced to this router that it is leaving.
     *
     * @param id the upstream
     * @return whether it gets no new requests
     */
    public boolean isLeaving(String id) {
        AnnouncementState known = states.get(id);
        return known != null && known.isLeaving();
    }

    /**
     * Returns whether an upstream accepts a request now. Call this right before sending.
     *
     * @param to the upstream, with the start time of the process that is meant
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return whether it is neither leaving nor paused
     */
    public boolean takesNew(UpstreamEntry to, long nowMillis) {
        AnnouncementState known = states.get(to.id());
        return known == null
                || known.startedMillis() != to.startedMillis()
                || (!known.isLeaving() && known.blockedMillis(nowMillis) == 0);
    }

    /**
     * Returns the limit of an upstream.
     *
     * @param id the upstream
     * @return the requests per second that it accepts from all routers together; empty without a
     *     limit
     */
    public OptionalDouble perSecond(String id) {
        AnnouncementState known = states.get(id);
        return known == null ? OptionalDouble.empty() : known.perSecond();
    }

    /**
     * Returns the statement about an upstream that is sent to other routers.
     *
     * @param id the upstream
     * @return the statement, or empty if it announced nothing
     */
    public Optional<PeerStatement> statement(String id) {
        return Optional.ofNullable(states.get(id))
                .filter(state -> !state.isEmpty())
                .map(Announcements::statement);
    }

    private static PeerStatement statement(AnnouncementState state) {
        return new PeerStatement(
                state.id(), state.startedMillis(), state.limit(), state.leavingHeardMillis());
    }

    /**
     * Returns the statements to send to all other routers: those that this or another router
     * received recently, including removals of limits.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the newest statements, up to a maximum number
     */
    public List<PeerStatement> recent(long nowMillis) {
        return states.values().stream()
                .filter(state -> nowMillis <= state.shareUntilMillis())
                .sorted(Comparator.comparingLong(state -> -state.shareUntilMillis()))
                .limit(MAX_SHARED_STATEMENTS)
                .map(Announcements::statement)
                .toList();
    }

    /**
     * Removes pauses that are over, and the statements of upstreams that have long had no entry.
     *
     * @param listedIds the ids of the upstreams that have an entry
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    void expire(Set<String> listedIds, long nowMillis) {
        for (String id : new ArrayList<>(paused)) {
            AnnouncementState state = states.get(id);
            if (state == null || state.pauseRemainingMillis(nowMillis) == 0) {
                paused.remove(id);
                logger.atInfo().log("upstream pause ended: id=%s", id);
            }
        }
        states.values()
                .removeIf(
                        state ->
                                !listedIds.contains(state.id())
                                        && nowMillis - state.lastHeardMillis() > RETENTION_MILLIS);
    }

    /**
     * Describes a limit for logs.
     *
     * @param perSecond the limit in requests per second
     * @return its number, or "none"
     */
    public static String describe(OptionalDouble perSecond) {
        return perSecond.isPresent() ? Double.toString(perSecond.getAsDouble()) : "none";
    }

    /**
     * Describes the state of an upstream for logs.
     *
     * @param id the upstream
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return its statements
     */
    public String describe(String id, long nowMillis) {
        AnnouncementState known = states.get(id);
        return known == null ? "nothing" : known.describe(nowMillis);
    }

    /**
     * Returns the number of upstreams with a limit.
     *
     * @return the number, as far as this router knows
     */
    public int limited() {
        return count(state -> state.perSecond().isPresent());
    }

    /**
     * Returns the number of upstreams that announced to this router that they are leaving.
     *
     * @return the number; it may include processes that have ended
     */
    public int leaving() {
        return count(AnnouncementState::isLeaving);
    }

    /**
     * Returns the number of upstreams that are paused for this router.
     *
     * @return the number
     */
    public int paused() {
        return paused.size();
    }

    /**
     * Returns the number of upstreams that reported their load to this router lately.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the number
     */
    public int reportingLoad(long nowMillis) {
        return count(state -> state.loadReports().isPresent(nowMillis));
    }

    private int count(Predicate<AnnouncementState> condition) {
        return (int) states.values().stream().filter(condition).count();
    }
}
