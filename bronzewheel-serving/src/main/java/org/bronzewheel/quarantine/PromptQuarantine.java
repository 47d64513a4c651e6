package org.bronzewheel.quarantine;

import com.google.common.flogger.FluentLogger;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bronzewheel.upstreams.PromptPart;
import org.bronzewheel.upstreams.UpstreamEntry;

/**
 * The prompt parts that crash model engines, by the evidence of this router and its peers.
 *
 * <p>Each part of a prompt except the last is suspected when an engine crashes before it has begun
 * to answer the prompt. An engine that survives another prompt with the part refutes all earlier
 * crashes. A part that alone explains several crashes is quarantined until a while after the newest
 * one; after that, a single crash renews the quarantine. Confined to the serving loop.
 */
public final class PromptQuarantine {
    /** The longest part id that evidence is kept for. */
    static final int MAX_ID_CHARACTERS = 100;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_SUSPECTED_PARTS = 256;
    private static final int MAX_SHARED_PARTS = 20;

    /** The crashes after which a part that no engine has survived is not failed over any more. */
    private static final int MIN_CRASHES_OF_SUSPECT = 2;

    private static final long QUARANTINE_MILLIS = 120_000;
    private static final long RETENTION_MILLIS = 600_000;
    private static final long REFUTED_RETENTION_MILLIS = 10_000;

    /** The time for which news is repeated to peers, in case messages are lost. */
    private static final long NEWS_MILLIS = 2_000;

    private static final Comparator<SuspectedPart> MOST_SUSPICIOUS_FIRST =
            Comparator.comparingInt((SuspectedPart part) -> -part.standing().size())
                    .thenComparingLong(part -> -part.changedMillis());

    private final Map<String, SuspectedPart> suspects = new LinkedHashMap<>();
    private final SurvivedParts survivedParts = new SurvivedParts();
    private Map<String, CrashAttribution.Blame> blamed = Map.of();
    private Runnable onQuarantine = () -> {};
    private Runnable onNews = () -> {};

    /**
     * Sets the action that runs once another part is blamed for crashes.
     *
     * @param action the action
     */
    public void onQuarantine(Runnable action) {
        onQuarantine = action;
    }

    /** Sets the action that runs once there is evidence that peers may not know. */
    void onNews(Runnable action) {
        onNews = action;
    }

    /**
     * Records that an engine crashed before it began to answer a prompt.
     *
     * @param engine the engine, with the start of the process that ended
     * @param prompt the parts of the prompt
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void crashed(UpstreamEntry engine, List<PromptPart> prompt, long nowMillis) {
        EngineCrash crash =
                new EngineCrash(engine.id() + "@" + engine.startedMillis(), nowMillis, false);
        boolean news = false;
        for (String partId : sharedParts(prompt)) {
            news |= add(partId, List.of(crash), false, nowMillis);
        }
        if (news) {
            logger.atInfo().log(
                    "engine crashed before its answer: life=%s parts=%s",
                    crash.life(), sharedParts(prompt));
            changed(nowMillis);
        }
    }

    /**
     * Records that an engine began to answer a prompt and did not crash.
     *
     * @param prompt the parts of the prompt
     * @param beganMillis when the answer began, in milliseconds of the steady clock
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void survived(List<PromptPart> prompt, long beganMillis, long nowMillis) {
        boolean news = false;
        for (String partId : sharedParts(prompt)) {
            survivedParts.add(partId, beganMillis);
            SuspectedPart suspect = suspects.get(partId);
            if (suspect != null) {
                news |= applyOwnSurvivals(suspect, nowMillis);
            }
        }
        if (news) {
            changed(nowMillis);
        }
    }

    /** Merges the evidence of a peer. */
    void merge(List<PartEvidence> evidence, long nowMillis) {
        boolean news = false;
        for (PartEvidence part : evidence) {
            news |= add(part.partId(), part.crashes(), part.survived(), nowMillis);
        }
        if (news) {
            changed(nowMillis);
        }
    }

    private boolean add(
            String partId, List<EngineCrash> crashes, boolean survived, long nowMillis) {
        SuspectedPart suspect = suspects.get(partId);
        if (suspect == null) {
            suspect = new SuspectedPart(partId, nowMillis);
        }
        boolean news = false;
        for (EngineCrash crash : crashes) {
            if (nowMillis - crash.atMillis() < retentionMillis(crash)) {
                news |= suspect.add(crash, nowMillis);
            }
        }
        if (suspect.isEmpty()) {
            return false;
        }
        suspects.put(partId, suspect);
        news |= survived && suspect.markSurvived(nowMillis);
        news |= applyOwnSurvivals(suspect, nowMillis);
        if (suspects.size() > MAX_SUSPECTED_PARTS) {
            suspects.values().stream()
                    .max(MOST_SUSPICIOUS_FIRST)
                    .ifPresent(least -> suspects.remove(least.id()));
        }
        return news;
    }

    private static long retentionMillis(EngineCrash crash) {
        return crash.refuted() ? REFUTED_RETENTION_MILLIS : RETENTION_MILLIS;
    }

    private boolean applyOwnSurvivals(SuspectedPart suspect, long nowMillis) {
        if (!survivedParts.contains(suspect.id())) {
            return false;
        }
        boolean news = suspect.markSurvived(nowMillis);
        news |= suspect.refuteBefore(survivedParts.newestMillis(suspect.id()), nowMillis);
        return news;
    }

    private void changed(long nowMillis) {
        if (attribute(nowMillis)) {
            onQuarantine.run();
        }
        onNews.run();
    }

    /** Attributes the crashes anew; returns whether another part is blamed. */
    private boolean attribute(long nowMillis) {
        Map<String, CrashAttribution.Blame> before = blamed;
        blamed = CrashAttribution.blamedParts(suspects.values());
        boolean more = false;
        for (Map.Entry<String, CrashAttribution.Blame> entry : blamed.entrySet()) {
            CrashAttribution.Blame known = before.get(entry.getKey());
            if (known == null || isOver(known, nowMillis)) {
                more = true;
                logger.atWarning().log(
                        "prompt part quarantined: part=%s crashes=%d",
                        entry.getKey(), entry.getValue().count());
            }
        }
        for (String partId : before.keySet()) {
            if (!blamed.containsKey(partId)) {
                logger.atInfo().log("prompt part no longer quarantined: part=%s", partId);
            }
        }
        return more;
    }

    private static boolean isOver(CrashAttribution.Blame blame, long nowMillis) {
        return remainingMillis(blame, nowMillis) <= 0;
    }

    private static long remainingMillis(CrashAttribution.Blame blame, long nowMillis) {
        return blame.newestMillis() + QUARANTINE_MILLIS - nowMillis;
    }

    /**
     * Finds a quarantined part in a prompt.
     *
     * @param prompt the parts of the prompt
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the quarantine that ends last, or empty if the prompt may be sent to engines
     */
    public Optional<Quarantine> find(List<PromptPart> prompt, long nowMillis) {
        if (blamed.isEmpty()) {
            return Optional.empty();
        }
        return sharedParts(prompt).stream()
                .filter(blamed::containsKey)
                .map(
                        partId ->
                                new Quarantine(
                                        partId,
                                        blamed.get(partId).count(),
                                        remainingMillis(blamed.get(partId), nowMillis)))
                .filter(quarantine -> quarantine.remainingMillis() > 0)
                .max(Comparator.comparingLong(Quarantine::remainingMillis));
    }

    /**
     * Returns whether a prompt has a part that may crash the next engine as well.
     *
     * @param prompt the parts of the prompt
     * @return whether it should not be sent to another engine after a crash
     */
    public boolean isSuspicious(List<PromptPart> prompt) {
        return !suspects.isEmpty()
                && sharedParts(prompt).stream()
                        .map(suspects::get)
                        .anyMatch(part -> part != null && isSuspicious(part));
    }

    private boolean isSuspicious(SuspectedPart part) {
        return blamed.containsKey(part.id())
                || (!part.hasSurvived()
                        && CrashAttribution.blame(part, culprits()).count()
                                >= MIN_CRASHES_OF_SUSPECT);
    }

    private List<SuspectedPart> culprits() {
        return blamed.keySet().stream().map(suspects::get).filter(Objects::nonNull).toList();
    }

    /** The last part belongs to the request alone. */
    private static Set<String> sharedParts(List<PromptPart> prompt) {
        return prompt.subList(0, Math.max(0, prompt.size() - 1)).stream()
                .map(PromptPart::id)
                .filter(id -> !id.isEmpty() && id.length() <= MAX_ID_CHARACTERS)
                .collect(Collectors.toSet());
    }

    /** Returns the evidence that changed lately, at most as much as fits a message. */
    List<PartEvidence> news(long nowMillis) {
        return mostSuspicious(
                suspects.values().stream()
                        .filter(part -> nowMillis - part.changedMillis() <= NEWS_MILLIS));
    }

    /** Returns the evidence that nothing refutes, at most as much as fits a message. */
    List<PartEvidence> standing() {
        return mostSuspicious(
                suspects.values().stream().filter(part -> !part.standing().isEmpty()));
    }

    private static List<PartEvidence> mostSuspicious(Stream<SuspectedPart> parts) {
        return parts.sorted(MOST_SUSPICIOUS_FIRST)
                .limit(MAX_SHARED_PARTS)
                .map(SuspectedPart::evidence)
                .toList();
    }

    /** Forgets old evidence. */
    void expire(long nowMillis) {
        boolean removed = false;
        for (SuspectedPart part : suspects.values()) {
            removed |=
                    part.removeBefore(
                            nowMillis - RETENTION_MILLIS, nowMillis - REFUTED_RETENTION_MILLIS);
        }
        if (removed) {
            suspects.values().removeIf(SuspectedPart::isEmpty);
            boolean unused = attribute(nowMillis);
        }
    }

    /**
     * Returns the number of parts with evidence against them.
     *
     * @return the number, including parts that are cleared
     */
    public int suspected() {
        return suspects.size();
    }

    /**
     * Returns the number of quarantined parts.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the number
     */
    public int quarantined(long nowMillis) {
        return (int) blamed.values().stream().filter(blame -> !isOver(blame, nowMillis)).count();
    }
}
