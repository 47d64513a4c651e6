package org.bronzewheel.answer;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import org.bronzewheel.request.RequestId;

/** The answers that a router keeps, bounded in bytes and in age; the oldest leave first. */
final class AnswerTable {
    private final AnswerSettings settings;
    private final LinkedHashMap<RequestId, AnswerEntry> answers = new LinkedHashMap<>();
    private long usedBytes;

    AnswerTable(AnswerSettings settings) {
        this.settings = settings;
    }

    /** Keeps an answer; the first one of a request stays. */
    void add(StoredAnswer answer, int bytes, boolean needsCopy, long nowNanos) {
        if (bytes > settings.maxBytes() || answers.containsKey(answer.requestId())) {
            return;
        }
        answers.put(answer.requestId(), new AnswerEntry(answer, bytes, nowNanos, needsCopy));
        usedBytes += bytes;
        prune(nowNanos);
    }

    Optional<StoredAnswer> find(RequestId requestId) {
        return Optional.ofNullable(answers.get(requestId)).map(AnswerEntry::answer);
    }

    void markCopied(RequestId requestId) {
        answers.computeIfPresent(requestId, (id, kept) -> kept.copied());
    }

    List<StoredAnswer> withoutCopy() {
        return answers.values().stream()
                .filter(AnswerEntry::needsCopy)
                .map(AnswerEntry::answer)
                .toList();
    }

    void prune(long nowNanos) {
        long keepNanos = settings.retentionMillis() * 1_000_000L;
        Iterator<AnswerEntry> oldestFirst = answers.values().iterator();
        while (oldestFirst.hasNext()) {
            AnswerEntry oldest = oldestFirst.next();
            boolean expired = nowNanos - oldest.keptNanos() > keepNanos;
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
