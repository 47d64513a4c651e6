package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bronzewheel.catalog.RetryRule;
import org.junit.jupiter.api.Test;

class ResponseMemoryTest {
    private static final int PART_BYTES = 64 << 10;

    private final ResponseMemory memory = new ResponseMemory(1_000);
    private final Map<String, Long> bytes = new HashMap<>();
    private final List<String> givenUp = new ArrayList<>();

    private void add(String upstream, String response) {
        bytes.put(response, 0L);
        Runnable[] remove = new Runnable[1];
        remove[0] =
                memory.add(
                        upstream,
                        () -> bytes.get(response),
                        () -> {
                            remove[0].run();
                            givenUp.add(response);
                        });
    }

    private void grow(String response, long by) {
        bytes.merge(response, by, Long::sum);
        memory.grown(by);
    }

    @Test
    void theLargestResponseOfTheUpstreamThatOccupiesMostIsGivenUp() {
        add("sound", "large");
        add("faulty", "a");
        add("faulty", "b");
        grow("large", 450);
        grow("a", 250);
        grow("b", 300);
        assertThat(givenUp).isEmpty();
        grow("a", 1);
        assertThat(givenUp).containsExactly("b");
    }

    @Test
    void whatResponsesNoLongerOccupyDoesNotCount() {
        add("u", "stream");
        for (int i = 0; i < 100; i++) {
            grow("stream", 500);
            bytes.put("stream", 0L);
        }
        assertThat(givenUp).isEmpty();
    }

    // LOST: each answer without end had a limit of its own, and all together the memory.
    @Test
    void answersWithoutEndOfManyRequestsAreGivenUpBeforeTheyUseUpTheMemory() {
        ServingHarness harness =
                new ServingHarness().with(ServingHarness.route(RetryRule.AT_MOST_ONCE, false, 1));
        for (int i = 0; i < 9; i++) {
            harness.request();
            harness.lastSend().head(200);
        }
        long occupiedBytes = 0;
        for (int part = 0; part < 100; part++) {
            occupiedBytes = 0;
            for (ServingHarness.Sent sent : harness.sends) {
                if (!sent.cancelled) {
                    sent.data("x".repeat(PART_BYTES));
                    occupiedBytes += (long) PART_BYTES * (part + 1);
                }
            }
        }
        assertThat(occupiedBytes).isAtMost(ServingHarness.RESPONSE_BYTES);
        assertThat(harness.refusals).isNotEmpty();
        assertThat(harness.refusalStatus()).isEqualTo(502);
    }
}
