package org.bronzewheel.permits;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Permits that are granted or refused by the test. */
public final class FakePermits implements Permits {
    private final Map<String, Long> unavailableMillisByName = new HashMap<>();
    private final List<Request> questions = new ArrayList<>();

    /** A request for a permit. */
    public record Request(
            PermitKind kind,
            String name,
            int rank,
            long timeoutMillis,
            Consumer<PermitDecision> listener) {}

    /** Makes an upstream require permits. */
    public void limit(String upstreamId) {
        unavailableMillisByName.put(upstreamId, 0L);
    }

    /** Makes permits of an upstream unavailable for a while. */
    public void close(String upstreamId, long millis) {
        unavailableMillisByName.put(upstreamId, millis);
    }

    /** Returns all requests so far. */
    public List<Request> questions() {
        return questions;
    }

    /** Decides on the last request. */
    public void decide(PermitDecision decision) {
        questions.get(questions.size() - 1).listener().accept(decision);
    }

    @Override
    public boolean isNeeded(PermitKind kind, String name) {
        return unavailableMillisByName.containsKey(name);
    }

    @Override
    public long unavailableMillis(PermitKind kind, String name) {
        return unavailableMillisByName.getOrDefault(name, 0L);
    }

    @Override
    public Disposable acquire(
            PermitKind kind,
            String name,
            int rank,
            long timeoutMillis,
            Consumer<PermitDecision> listener) {
        questions.add(new Request(kind, name, rank, timeoutMillis, listener));
        return Disposable.empty();
    }
}
