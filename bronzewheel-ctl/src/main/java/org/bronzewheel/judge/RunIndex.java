package org.bronzewheel.judge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzewheel.standin.Run;

/** The runs of a ledger by nonce and by request id. */
final class RunIndex {
    private final Map<String, List<Run>> byNonce = new HashMap<>();
    private final Map<String, List<Run>> byRequestId = new HashMap<>();

    RunIndex(List<Run> runs) {
        for (Run run : runs) {
            byNonce.computeIfAbsent(run.nonce(), nonce -> new ArrayList<>()).add(run);
            byRequestId.computeIfAbsent(run.requestId(), id -> new ArrayList<>()).add(run);
        }
    }

    List<Run> ofNonce(String nonce) {
        return byNonce.getOrDefault(nonce, List.of());
    }

    List<Run> ofRequestId(String requestId) {
        return byRequestId.getOrDefault(requestId, List.of());
    }

    /** Returns the position of the stage that a run is of, or -1 for a malformed attempt id. */
    static int stageIndex(Run run) {
        String[] parts = run.attemptId().split("/", -1);
        boolean wellFormed = parts.length == 3 && parts[1].matches("\\d{1,4}");
        return wellFormed ? Integer.parseInt(parts[1]) : -1;
    }
}
