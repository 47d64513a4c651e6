package org.bronzewheel.standin;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlatformStandInTest {
    private static final String CONFIGURATION = "{\"inventory\":\"i%d\",\"rules\":\"r%d\"}";
    private static final String VMS =
            "{\"vms\":[{\"vmId\":\"vm-1\",\"role\":\"ROUTER\",\"state\":\"LEAVING\","
                    + "\"failureDomain\":\"a\",\"peerAddress\":\"127.0.0.1:1\","
                    + "\"httpAddress\":\"127.0.0.1:2\"}]}";

    private final Vertx vertx = Vertx.vertx();
    private final PlatformStandIn platform = new PlatformStandIn(vertx, "127.0.0.1", 0);
    private HttpCaller caller;

    @BeforeEach
    void startPlatform() {
        platform.start();
        caller = new HttpCaller(platform.address());
    }

    @AfterEach
    void closeVertx() {
        vertx.close();
    }

    private void publish(int number) throws Exception {
        caller.call("PUT", "/admin/configuration", CONFIGURATION.formatted(number, number));
    }

    @ParameterizedTest
    @CsvSource({"0, 200", "1, 200", "2, 304", "9, 304"})
    void aReadAnswersOnlyANewerRevision(long after, int status) throws Exception {
        publish(1);
        publish(2);
        HttpResponse<String> read = caller.call("GET", "/v1/configuration?after=" + after, "");
        assertThat(read.statusCode()).isEqualTo(status);
        if (status == 200) {
            assertThat(read.body()).contains("\"revision\":2");
            assertThat(read.body()).contains("\"inventory\":\"i2\"");
        }
        assertThat(platform.configurationReads()).isEqualTo(1);
    }

    @Test
    void aWatchWakesWithTheNextRevisionAndCountsAsOneRead() throws Exception {
        CompletableFuture<HttpResponse<String>> watch =
                caller.start("GET", "/v1/vms?after=0&waitMillis=30000", "");
        while (platform.vmListReads() == 0) {
            Thread.onSpinWait();
        }
        caller.call("PUT", "/admin/vms", VMS);
        assertThat(watch.get().body()).contains("\"state\":\"LEAVING\"");
        assertThat(platform.vmListReads()).isEqualTo(1);
        assertThat(platform.vms().get(0).vmId()).isEqualTo("vm-1");
    }

    @Test
    void aWatchWithoutNewsEndsNotModified() throws Exception {
        assertThat(caller.call("GET", "/v1/vms?after=0&waitMillis=20", "").statusCode())
                .isEqualTo(304);
    }

    @Test
    void aStalePlatformServesTheOldRevisionUntilItRecovers() throws Exception {
        publish(1);
        caller.call("PUT", "/admin/faults", "{\"stale\":true}");
        publish(2);
        JsonNode stale = caller.json("GET", "/v1/configuration", "");
        assertThat(stale.path("revision").asLong()).isEqualTo(1);
        caller.call("PUT", "/admin/faults", "{\"stale\":false}");
        JsonNode fresh = caller.json("GET", "/v1/configuration", "");
        assertThat(fresh.path("revision").asLong()).isEqualTo(2);
    }

    @Test
    void aPlatformThatIsDownBreaksConnectionsAndComesBack() throws Exception {
        publish(1);
        platform.setFaults(new PlatformFaults(true, false, 0));
        assertThrows(IOException.class, () -> caller.call("GET", "/v1/configuration", ""));
        platform.setFaults(PlatformFaults.NONE);
        assertThat(caller.call("GET", "/v1/configuration", "").statusCode()).isEqualTo(200);
    }
}
