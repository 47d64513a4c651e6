package org.bronzewheel.claim;

import org.bronzewheel.request.IdempotencyKey;

/** Creates keys that are UUIDs of version 7. */
final class UuidKeys {
    private UuidKeys() {}

    static IdempotencyKey version7(long epochMillis, long number) {
        String hex = String.format("%012x", epochMillis);
        return new IdempotencyKey(
                "w",
                hex.substring(0, 8)
                        + "-"
                        + hex.substring(8)
                        + String.format("-7000-8000-%012x", number));
    }
}
