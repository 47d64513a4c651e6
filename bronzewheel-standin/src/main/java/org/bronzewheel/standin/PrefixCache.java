package org.bronzewheel.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A bounded cache of prompt prefixes, which publishes what it stored and evicted late and with
 * gaps.
 *
 * <p>A prefix is the first n blocks of a prompt of 256 characters each. Its hash is the first 16
 * hexadecimal digits of the SHA-256 of its text.
 */
final class PrefixCache {
    private static final int BLOCK_CHARS = 256;
    private static final int TOKENS_PER_BLOCK =
            ExpectedAnswers.promptTokens("x".repeat(BLOCK_CHARS));
    private static final int MAX_KEPT_EVENTS = 1_000;
    private static final int HUNDRED_PERCENT = 100;

    private final int capacityBlocks;
    private final long lagMillis;
    private final int lossPercent;
    private final SplittableRandom random;
    private final LinkedHashSet<String> blocks = new LinkedHashSet<>();
    private final Deque<Event> events = new ArrayDeque<>();
    private long sequence;

    PrefixCache(int capacityBlocks, long lagMillis, int lossPercent, long seed) {
        this.capacityBlocks = capacityBlocks;
        this.lagMillis = lagMillis;
        this.lossPercent = lossPercent;
        this.random = new SplittableRandom(seed);
    }

    private record Event(long sequence, String kind, String prefixHash, long atMillis) {}

    /** An event as it is published. */
    record PublishedEvent(long sequence, String kind, String prefixHash) {}

    /** Events after a sequence number; the gap says that some in between are missing. */
    record Events(List<PublishedEvent> events, boolean gap) {}

    /** Reads a prompt through the cache; returns how many of its tokens were cached. */
    synchronized int read(String prompt, long nowMillis) {
        int cachedBlocks = 0;
        boolean stillCached = true;
        for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
            String hash = ExpectedAnswers.prefixHash(prompt.substring(0, end));
            boolean hit = blocks.remove(hash);
            blocks.add(hash);
            stillCached &= hit;
            if (stillCached) {
                cachedBlocks++;
            }
            if (!hit) {
                record("STORED", hash, nowMillis);
            }
        }
        evict(nowMillis);
        return cachedBlocks * TOKENS_PER_BLOCK;
    }

    synchronized Events after(long after, long nowMillis) {
        List<PublishedEvent> found = new ArrayList<>();
        boolean gap = false;
        long expected = after + 1;
        for (Event event : events) {
            if (event.sequence() <= after || event.atMillis() + lagMillis > nowMillis) {
                continue;
            }
            gap |= event.sequence() != expected;
            expected = event.sequence() + 1;
            found.add(new PublishedEvent(event.sequence(), event.kind(), event.prefixHash()));
        }
        return new Events(found, gap);
    }

    private void evict(long nowMillis) {
        while (blocks.size() > capacityBlocks) {
            String oldest = blocks.iterator().next();
            blocks.remove(oldest);
            record("EVICTED", oldest, nowMillis);
        }
    }

    private void record(String kind, String hash, long nowMillis) {
        sequence++;
        if (random.nextInt(HUNDRED_PERCENT) < lossPercent) {
            return;
        }
        events.add(new Event(sequence, kind, hash, nowMillis));
        if (events.size() > MAX_KEPT_EVENTS) {
            events.remove();
        }
    }
}
