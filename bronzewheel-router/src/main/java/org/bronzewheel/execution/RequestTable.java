package org.bronzewheel.execution;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.transport.Peer;

/** The requests that this router holds: those that run and a bounded number of ended ones. */
final class RequestTable {
    private static final int MAX_ENDED = 2_048;
    private static final int MAX_ENDED_CHARS = 16 << 20;

    private final Peer self;
    private final AtomicLong lastSequence = new AtomicLong();
    private final Map<RequestId, HeldRequest> running = new HashMap<>();
    private final LinkedHashMap<RequestId, HeldRequest> ended = new LinkedHashMap<>();
    private long endedChars;

    RequestTable(Peer self) {
        this.self = self;
    }

    RequestId nextId() {
        return new RequestId(self.vmId(), self.incarnation(), lastSequence.incrementAndGet());
    }

    boolean isOwn(RequestId id) {
        return id.vmId().equals(self.vmId()) && id.incarnation() == self.incarnation();
    }

    synchronized HeldRequest open(RequestId id) {
        HeldRequest held = new HeldRequest(id);
        running.put(id, held);
        return held;
    }

    synchronized Optional<HeldRequest> find(RequestId id) {
        HeldRequest held = running.get(id);
        return Optional.ofNullable(held == null ? ended.get(id) : held);
    }

    /** Moves a request to the ended ones; the oldest of these are forgotten. */
    synchronized void close(HeldRequest held) {
        if (running.remove(held.id()) == null) {
            return;
        }
        ended.put(held.id(), held);
        endedChars += chars(held);
        while (ended.size() > MAX_ENDED || endedChars > MAX_ENDED_CHARS) {
            HeldRequest oldest = ended.remove(ended.keySet().iterator().next());
            endedChars -= chars(oldest);
        }
    }

    synchronized int runningCount() {
        return running.size();
    }

    private static int chars(HeldRequest held) {
        // The text of a model stage stands in the tokens and again in the answer.
        return 2 * held.read(ReadResult.NO_TOKENS).answer().body().length();
    }
}
