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
 * What upstreams say of themselves in their answers: the requests that they take, that they leave,
 * and pauses that they ask for.
 *
 * <p>A statement belongs to the life of the upstream that made it; an upstream that starts again
 * under its id knows nothing of it. A limit is in force until a later answer names another one or
 * none; leaving, until the life ends; a pause, until its end. Statements outlast the entry of their
 * upstream for a while, as an entry may lapse and come back. Owned by the serving loop.
 */
public final class Announcements {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MOST_ACCOUNTS = 10_000;

    /** Statements that go with one sign of life. */
    private static final int MOST_TOLD = 50;

    /** The time after which what an upstream without an entry said is forgotten. */
    private static final long FORGET_MILLIS = 600_000;

    /** The least change of a pause that is logged, in milliseconds. */
    private static final long CHANGE_MILLIS = 1_000;

    private static final String HERE = "an answer";
    private static final String PEER = "a router";

    private final Map<String, AnnouncementState> accounts = new HashMap<>();
    private final Set<String> paused = new HashSet<>();
    private Runnable onLeaving = () -> {};

    /**
     * Sets what is done once an upstream says that it leaves.
     *
     * @param action the action
     */
    void onLeaving(Runnable action) {
        onLeaving = action;
    }

    /** Returns the account of the life that an entry describes; one of another life is dropped. */
    AnnouncementState accountOf(UpstreamEntry entry) {
        AnnouncementState known = accounts.get(entry.id());
        if (known == null || known.startedMillis() != entry.startedMillis()) {
            if (known != null && !known.isBlank()) {
                logger.atInfo().log(
                        "upstream statements ended: id=%s reason=a new life began", entry.id());
            }
            known = new AnnouncementState(entry.id(), entry.startedMillis());
            accounts.put(entry.id(), known);
        }
        return known;
    }

    /** Returns the account of a life, or empty where only another life of the id is known. */
    private Optional<AnnouncementState> account(String id, long startedMillis) {
        AnnouncementState known = accounts.get(id);
        if (known == null && accounts.size() >= MOST_ACCOUNTS) {
            logger.atWarning().log(
                    "too many upstreams are known; a statement is dropped: id=%s", id);
        } else if (known == null) {
            known = new AnnouncementState(id, startedMillis);
            accounts.put(id, known);
        }
        return Optional.ofNullable(known).filter(a -> a.startedMillis() == startedMillis);
    }

    /**
     * Takes what an answer says.
     *
     * <p>Answers overtake each other, so one to a request that was sent before a statement was
     * heard does not end it or raise a limit.
     *
     * @param from the upstream that was sent the request
     * @param announcement what its answer says
     * @param sentMillis when the request was sent, in milliseconds of the steady clock
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void announced(
            UpstreamEntry from, Announcement announcement, long sentMillis, long nowMillis) {
        if (announcement.origin() == Announcement.Origin.MISDIRECTED) {
            return;
        }
        account(from.id(), from.startedMillis())
                .ifPresent(account -> take(account, announcement, sentMillis, nowMillis));
    }

    private void take(
            AnnouncementState account, Announcement announcement, long sentMillis, long nowMillis) {
        if (announcement.origin() == Announcement.Origin.GOOD && !announcement.leaving()) {
            account.answeredWell(sentMillis);
        }
        if (announcement.saysLimit()) {
            takeLimit(account, announcement.limit().perSecond(), sentMillis, nowMillis);
        }
        announcement.pauseMillis().ifPresent(pause -> takePause(account, pause, nowMillis));
        if (announcement.leaving() && !account.isLeaving()) {
            account.leave(nowMillis);
            logger.atInfo().log(
                    "upstream says it leaves: id=%s life=%d heard from %s",
                    account.id(), account.startedMillis(), HERE);
            onLeaving.run();
        }
    }

    private static void takeLimit(
            AnnouncementState account, OptionalDouble named, long sentMillis, long nowMillis) {
        OptionalDouble known = account.perSecond();
        if (named.isEmpty() && known.isEmpty()) {
            return;
        }
        boolean tightens =
                named.isPresent() && named.getAsDouble() <= known.orElse(named.getAsDouble());
        boolean later = account.limit().filter(limit -> sentMillis < limit.heardMillis()).isEmpty();
        if (tightens || later) {
            putLimit(account, new LimitStatement(named, nowMillis), HERE);
        }
    }

    private static void putLimit(
            AnnouncementState account, LimitStatement statement, String source) {
        OptionalDouble before = account.perSecond();
        account.setLimit(statement);
        if (!before.equals(statement.perSecond())) {
            logger.atInfo().log(
                    "upstream limit: id=%s life=%d perSecond=%s heard from %s",
                    account.id(), account.startedMillis(), describe(statement.perSecond()), source);
        }
    }

    private void takePause(AnnouncementState account, long pauseMillis, long nowMillis) {
        long beforeMillis = account.pauseLeftMillis(nowMillis);
        account.pause(pauseMillis, nowMillis);
        long grownMillis = account.pauseLeftMillis(nowMillis) - beforeMillis;
        if (grownMillis > 0 && (paused.add(account.id()) || grownMillis >= CHANGE_MILLIS)) {
            logger.atInfo().log(
                    "upstream pauses: id=%s life=%d millis=%d heard from %s",
                    account.id(), account.startedMillis(), pauseMillis, HERE);
        }
    }

    /**
     * Takes what another router heard of an upstream.
     *
     * @param statement what it heard, and when
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void mergePeerStatement(PeerStatement statement, long nowMillis) {
        Optional<AnnouncementState> found =
                account(statement.upstreamId(), statement.startedMillis());
        if (found.isEmpty()) {
            return;
        }
        AnnouncementState account = found.get();
        statement
                .limit()
                .filter(limit -> isNewer(limit, account))
                .ifPresent(limit -> putLimit(account, limit, PEER));
        if (statement.leavingHeardMillis().isPresent()) {
            boolean known = account.isHintedToLeave(nowMillis);
            account.hintLeaving(statement.leavingHeardMillis().getAsLong());
            if (!known && account.isHintedToLeave(nowMillis)) {
                logger.atInfo().log(
                        "upstream is said to leave: id=%s life=%d heard from %s",
                        account.id(), account.startedMillis(), PEER);
            }
        }
    }

    private static boolean isNewer(LimitStatement statement, AnnouncementState account) {
        return account.limit()
                .filter(known -> statement.heardMillis() <= known.heardMillis())
                .isEmpty();
    }

    /**
     * Tells whether an upstream said to this router that it leaves.
     *
     * @param id the upstream
     * @return whether it gets nothing new
     */
    public boolean isLeaving(String id) {
        AnnouncementState known = accounts.get(id);
        return known != null && known.isLeaving();
    }

    /**
     * Tells whether an upstream takes a request now; to be asked right before a send.
     *
     * @param to the upstream, in the life that is meant
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return whether it neither leaves nor pauses
     */
    public boolean takesNew(UpstreamEntry to, long nowMillis) {
        AnnouncementState known = accounts.get(to.id());
        return known == null
                || known.startedMillis() != to.startedMillis()
                || (!known.isLeaving() && known.blockedMillis(nowMillis) == 0);
    }

    /**
     * Returns the limit of an upstream.
     *
     * @param id the upstream
     * @return the requests a second that it takes from all routers together; empty without a limit
     */
    public OptionalDouble perSecond(String id) {
        AnnouncementState known = accounts.get(id);
        return known == null ? OptionalDouble.empty() : known.perSecond();
    }

    /**
     * Returns what is told to other routers of an upstream.
     *
     * @param id the upstream
     * @return its statements, or empty where it made none that others want to know
     */
    public Optional<PeerStatement> statement(String id) {
        return Optional.ofNullable(accounts.get(id))
                .filter(account -> !account.isBlank())
                .map(Announcements::statement);
    }

    private static PeerStatement statement(AnnouncementState account) {
        return new PeerStatement(
                account.id(),
                account.startedMillis(),
                account.limit(),
                account.leavingHeardMillis());
    }

    /**
     * Returns what is told to all other routers: statements, and the ends of limits, that were
     * heard lately, here or elsewhere.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the statements, the newest ones where there are many
     */
    public List<PeerStatement> recent(long nowMillis) {
        return accounts.values().stream()
                .filter(account -> nowMillis <= account.toldUntilMillis())
                .sorted(Comparator.comparingLong(account -> -account.toldUntilMillis()))
                .limit(MOST_TOLD)
                .map(Announcements::statement)
                .toList();
    }

    /**
     * Ends pauses that are over, and forgets what upstreams said that have had no entry for long.
     *
     * @param listed the ids of the upstreams that have an entry
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    void expire(Set<String> listed, long nowMillis) {
        for (String id : new ArrayList<>(paused)) {
            AnnouncementState account = accounts.get(id);
            if (account == null || account.pauseLeftMillis(nowMillis) == 0) {
                paused.remove(id);
                logger.atInfo().log("upstream pause ended: id=%s", id);
            }
        }
        accounts.values()
                .removeIf(
                        account ->
                                !listed.contains(account.id())
                                        && nowMillis - account.lastHeardMillis() > FORGET_MILLIS);
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
     * Describes what is known of an upstream for logs.
     *
     * @param id the upstream
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return its statements
     */
    public String describe(String id, long nowMillis) {
        AnnouncementState known = accounts.get(id);
        return known == null ? "nothing" : known.describe(nowMillis);
    }

    /**
     * Returns the number of upstreams that name a limit.
     *
     * @return the number, as far as this router knows
     */
    public int limited() {
        return count(account -> account.perSecond().isPresent());
    }

    /**
     * Returns the number of upstreams that said to this router that they leave.
     *
     * @return the number, some of which may have ended
     */
    public int leaving() {
        return count(AnnouncementState::isLeaving);
    }

    /**
     * Returns the number of upstreams that asked this router for a pause that is not over.
     *
     * @return the number
     */
    public int paused() {
        return paused.size();
    }

    private int count(Predicate<AnnouncementState> condition) {
        return (int) accounts.values().stream().filter(condition).count();
    }
}
