package org.bronzewheel.claim;

import java.util.List;

/** The scopes of the exhaustive model checks. */
final class ClaimScopes {
    /** Short timeouts, so that a few time advances exceed them. */
    static final ClaimSettings SETTINGS =
            new ClaimSettings(20_000, 10_000, 500, 2_000, 500, 200, 100, 60, 1_000);

    static final ClaimScope LOSS = scope("loss", 2, 0, 1, 0, 0);
    static final ClaimScope DEADLINE = scope("deadline", 2, 0, 0, 0, 0, 200);
    static final ClaimScope DOUBLE = scope("double", 2, 0, 0, 1, 0, 60);
    static final ClaimScope RESTART = scope("restart", 2, 0, 0, 0, 1);
    static final ClaimScope THREE_CLAIMS = scope("three claims", 3, 0, 0, 0, 0);
    static final ClaimScope FUTURE_KEY = scope("key from the future", 2, 10_000, 0, 0, 2, 15_000);
    static final ClaimScope EXPIRED_KEY = scope("expired key", 2, 0, 0, 0, 0, 30_000);
    static final ClaimScope WAITING_GRANT = scope("waiting grant", 2, -1, 0, 0, 0, 30_000);

    static final ClaimScope HAND_OVER = scope("hand-over", 2, 0, 0, 0, 0, 500);
    static final ClaimScope HAND_OVER_AND_RESTART = scope("hand-over and restart", 2, 0, 0, 0, 1);

    static final ClaimScope LIST_CHANGE = listChange("list change", 3_000);

    static final List<ClaimScope> ALL =
            List.of(
                    LOSS,
                    DEADLINE,
                    DOUBLE,
                    RESTART,
                    THREE_CLAIMS,
                    FUTURE_KEY,
                    EXPIRED_KEY,
                    WAITING_GRANT,
                    HAND_OVER,
                    HAND_OVER_AND_RESTART);

    private ClaimScopes() {}

    private static ClaimScope listChange(String name, long keyAheadMillis) {
        return new ClaimScope(
                name,
                3,
                List.of("r0", "r3"),
                keyAheadMillis,
                0,
                0,
                0,
                0,
                List.of("r1", "r2", "r3"),
                false,
                List.of(3_000L));
    }

    private static ClaimScope scope(
            String name,
            int claims,
            long keyAheadMillis,
            int drops,
            int duplicates,
            int crashes,
            long... advancesMillis) {
        return new ClaimScope(
                name,
                3,
                List.of("r0", "r1", "r2").subList(0, claims),
                keyAheadMillis,
                drops,
                duplicates,
                crashes,
                name.startsWith("hand") ? 1 : 0,
                List.of(),
                keyAheadMillis < 0,
                java.util.Arrays.stream(advancesMillis).boxed().toList());
    }
}
