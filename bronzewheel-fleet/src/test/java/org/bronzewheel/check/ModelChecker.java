package org.bronzewheel.check;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Stream;

/**
 * Searches all schedules of a model breadth-first for a violated property.
 *
 * @param <S> the type of states
 */
public final class ModelChecker<S> {
    private final Model<S> model;
    private final int maxStates;
    private final Map<UUID, Arrival> arrivals = new ConcurrentHashMap<>();
    private int depth;
    private final LongAdder transitions = new LongAdder();

    public ModelChecker(Model<S> model, int maxStates) {
        this.model = model;
        this.maxStates = maxStates;
    }

    /** Searches level by level, each level in parallel on the common pool. */
    public ModelCheckResult check() {
        S initial = model.initial();
        UUID root = digest(model.fingerprint(initial));
        arrivals.put(root, new Arrival(null, ""));
        List<Visit<S>> level = List.of(new Visit<>(root, initial));
        while (!level.isEmpty() && arrivals.size() < maxStates) {
            level = level.parallelStream().flatMap(this::successors).toList();
            depth++;
            Optional<Visit<S>> violating =
                    level.stream()
                            .filter(visit -> model.violation(visit.state()).isPresent())
                            .min(Comparator.comparing(Visit::id));
            if (violating.isPresent()) {
                return result(
                        false,
                        model.violation(violating.get().state()),
                        schedule(violating.get().id()));
            }
        }
        return result(level.isEmpty(), Optional.empty(), List.of());
    }

    private Stream<Visit<S>> successors(Visit<S> visit) {
        List<Visit<S>> found = new ArrayList<>();
        for (Transition<S> transition : model.transitions(visit.state())) {
            transitions.increment();
            S next = model.copy(visit.state());
            transition.effect().accept(next);
            model.normalize(next);
            UUID id = digest(model.fingerprint(next));
            Arrival arrival = new Arrival(visit.id(), transition.label());
            if (arrivals.putIfAbsent(id, arrival) == null) {
                found.add(new Visit<>(id, next));
            }
        }
        return found.stream();
    }

    private ModelCheckResult result(
            boolean complete, Optional<String> violation, List<String> schedule) {
        return new ModelCheckResult(
                arrivals.size(), transitions.sum(), depth, complete, violation, schedule);
    }

    private List<String> schedule(UUID id) {
        ArrayDeque<String> labels = new ArrayDeque<>();
        Arrival arrival = arrivals.get(id);
        while (arrival.from() != null) {
            labels.addFirst(arrival.label());
            arrival = arrivals.get(arrival.from());
        }
        return List.copyOf(labels);
    }

    private static UUID digest(String text) {
        try {
            byte[] hash =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            ByteBuffer buffer = ByteBuffer.wrap(hash);
            return new UUID(buffer.getLong(), buffer.getLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private record Visit<S>(UUID id, S state) {}

    private record Arrival(UUID from, String label) {}
}
