package org.bronzewheel.serving;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.bronzewheel.catalog.RetryRule;
import org.bronzewheel.catalog.ServiceRoute;
import org.bronzewheel.catalog.ServiceShare;
import org.junit.jupiter.api.Test;

/** Guards against requests that are ended before their route and their caller allow it. */
class LongRequestTest {
    private static final long ROUTE_TIMEOUT_MILLIS = 80_000;
    private static final long UPSTREAM_MILLIS = 62_000;

    private static ServiceRoute slowRoute() {
        return new ServiceRoute(
                "r",
                "h",
                "/r/",
                false,
                RetryRule.AT_MOST_ONCE,
                ROUTE_TIMEOUT_MILLIS,
                30_000,
                0,
                0,
                0,
                1,
                List.of(new ServiceShare("s", 1)),
                List.of(),
                true);
    }

    @Test
    void aRequestWithoutADeadlineMayTakeAsLongAsItsRouteAllows() {
        ServingHarness harness =
                new ServingHarness()
                        .with(slowRoute())
                        .request("key", List.of(), Optional.empty())
                        .advance(UPSTREAM_MILLIS);

        assertThat(harness.refusals).isEmpty();
        harness.lastSend().answer(200);
        assertThat(harness.finished).isTrue();
    }

    @Test
    void theUpstreamOfARequestWithoutADeadlineIsGivenTheTimeOfTheRoute() {
        ServingHarness harness =
                new ServingHarness().with(slowRoute()).request("key", List.of(), Optional.empty());

        assertThat(harness.lastSend().call.timeoutMillis()).isEqualTo(ROUTE_TIMEOUT_MILLIS);
    }

    @Test
    void aRequestWithoutADeadlineIsAnsweredAtTheTimeoutOfItsRoute() {
        ServingHarness harness =
                new ServingHarness()
                        .with(slowRoute())
                        .request("key", List.of(), Optional.empty())
                        .advance(ROUTE_TIMEOUT_MILLIS + 1);

        assertThat(harness.refusalStatus()).isEqualTo(504);
    }
}
