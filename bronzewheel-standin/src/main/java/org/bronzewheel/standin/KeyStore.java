package org.bronzewheel.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The idempotency keys that the upstreams of one pool have seen, with their answers. */
final class KeyStore {
    private final boolean checksKeys;
    private final Map<String, Entry> entries = new HashMap<>();

    KeyStore(boolean checksKeys) {
        this.checksKeys = checksKeys;
    }

    private static final class Entry {
        private CallStandIn.Answer answer;
        private final List<Consumer<CallStandIn.Answer>> waiting = new ArrayList<>();
    }

    /** Tells whether the key ran or runs; then its answer goes to the consumer, now or later. */
    boolean isRepeated(String key, Consumer<CallStandIn.Answer> consumer) {
        if (!checksKeys || key.isEmpty()) {
            return false;
        }
        CallStandIn.Answer answer;
        synchronized (this) {
            Entry entry = entries.get(key);
            if (entry == null) {
                entries.put(key, new Entry());
                return false;
            }
            if (entry.answer == null) {
                entry.waiting.add(consumer);
                return true;
            }
            answer = entry.answer;
        }
        consumer.accept(answer);
        return true;
    }

    void answered(String key, CallStandIn.Answer answer) {
        List<Consumer<CallStandIn.Answer>> waiting;
        synchronized (this) {
            Entry entry = entries.get(key);
            if (entry == null) {
                return;
            }
            entry.answer = answer;
            waiting = List.copyOf(entry.waiting);
            entry.waiting.clear();
        }
        waiting.forEach(consumer -> consumer.accept(answer));
    }
}
