package org.bronzewheel.upstream;

import com.fasterxml.jackson.databind.node.TextNode;
import java.util.List;
import java.util.Map;
import org.bronzewheel.inventory.Pool;
import org.bronzewheel.inventory.PoolKind;
import org.bronzewheel.inventory.Upstream;
import org.bronzewheel.request.AttemptId;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.rules.Stage;

/** Calls for tests. */
final class Calls {
    static final AttemptId ATTEMPT = new AttemptId(new RequestId("vm-1", 36, 1), 0, 1);

    private Calls() {}

    static StageCall call(String address, PoolKind kind, boolean refusalProvesNotRun) {
        return call(address, kind, refusalProvesNotRun, () -> 1_000);
    }

    static StageCall call(
            String address, PoolKind kind, boolean refusalProvesNotRun, SendPermit permit) {
        Upstream upstream = new Upstream("worker-1", "vm-9", address, "fd-1");
        Pool pool =
                new Pool(
                        "pool",
                        kind,
                        8,
                        false,
                        true,
                        false,
                        refusalProvesNotRun,
                        0,
                        List.of("scribe"),
                        List.of(upstream));
        Stage stage = new Stage("stage", "pool", true, "scribe", "/confirm", 16);
        return new StageCall(
                ATTEMPT,
                stage,
                pool,
                upstream,
                "pilots",
                2,
                "key-1",
                permit,
                TextNode.valueOf("hello"),
                Map.of("traceparent", "00-1-2-01"));
    }
}
