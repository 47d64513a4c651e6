package org.bronzewheel.answer;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import org.bronzewheel.request.RequestId;

/** The answers stored on a router, limited in size and age; the oldest are evicted first. */
final class AnswerTable {
    private final AnswerSettings settings;
    private final LinkedHashMap<RequestId, AnswerEntry> answers = new LinkedHashMap<>();
    private long usedBytes;

    AnswerTable(AnswerSettings settings) {
        this.settings = settings;
    }

    /** Adds an answer unless the request already has one. */
    void add(StoredAnswer answer, int bytes, boolean needsReplica, long nowNanos) {
        if (bytes > settings.maxBytes() || answers.containsKey(answer.requestId())) {
            return;
        }
        answers.put(answer.requestId(), new AnswerEntry(answer, bytes, nowNanos, needsReplica));
        usedBytes += bytes;
        evict(nowNanos);
    }

    Optional<StoredAnswer> find(RequestId requestId) {
        return Optional.ofNullable(answers.get(requestId)).map(AnswerEntry::answer);
    }

    void markReplicated(RequestId requestId) {
        answers.computeIfPresent(requestId, (id, entry) -> entry.asReplicated());
    }

    List<StoredAnswer> unreplicated() {
        return answers.values().stream()
                .filter(AnswerEntry::needsReplica)
                .map(AnswerEntry::answer)
                .toList();
    }

    void evict(long nowNanos) {
        long retentionNanos = settings.retentionMillis() * 1_000_000L;
        Iterator<AnswerEntry> oldestFirst = answers.values().iterator();
        while (oldestFirst.hasNext()) {
            AnswerEntry oldest = oldestFirst.next();
            boolean expired = nowNanos - oldest.storedNanos() > retentionNanos;
            if (!expired && usedBytes <= settings.maxBytes()) {
                return;
            }
            usedBytes -= oldest.bytes();
            oldestFirst.remove();
        }
    }

    long usedBytes() {
        return usedBytes;
    }
}
