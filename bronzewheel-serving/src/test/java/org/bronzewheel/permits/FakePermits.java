package org.bronzewheel.permits;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Permits that a test grants or refuses. */
public final class FakePermits implements Permits {
    private final Map<String, Long> closedForMillis = new HashMap<>();
    private final List<Asked> questions = new ArrayList<>();

    /** A question for a permit. */
    public record Asked(
            PermitKind kind,
            String name,
            int rank,
            long patienceMillis,
            Consumer<PermitDecision> listener) {}

    /** Lets an upstream need permits. */
    public void limit(String upstreamId) {
        closedForMillis.put(upstreamId, 0L);
    }

    /** Lets an upstream have no permit for a while. */
    public void close(String upstreamId, long millis) {
        closedForMillis.put(upstreamId, millis);
    }

    /** Returns all questions so far. */
    public List<Asked> questions() {
        return questions;
    }

    /** Decides on the last question. */
    public void decide(PermitDecision decision) {
        questions.get(questions.size() - 1).listener().accept(decision);
    }

    @Override
    public boolean isNeeded(PermitKind kind, String name) {
        return closedForMillis.containsKey(name);
    }

    @Override
    public long unavailableMillis(PermitKind kind, String name) {
        return closedForMillis.getOrDefault(name, 0L);
    }

    @Override
    public Disposable acquire(
            PermitKind kind,
            String name,
            int rank,
            long patienceMillis,
            Consumer<PermitDecision> listener) {
        questions.add(new Asked(kind, name, rank, patienceMillis, listener));
        return Disposable.empty();
    }
}
