package org.bronzewheel.logging;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class JsonLogFormatterTest {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Logger backend = Logger.getLogger(JsonLogFormatterTest.class.getName());
    private final List<String> lines = new ArrayList<>();
    private final Handler handler =
            new Handler() {
                private final JsonLogFormatter formatter = new JsonLogFormatter("vm-1");

                @Override
                public void publish(LogRecord record) {
                    lines.add(formatter.format(record));
                }

                @Override
                public void flush() {}

                @Override
                public void close() {}
            };

    @BeforeEach
    void addHandler() {
        backend.addHandler(handler);
    }

    @AfterEach
    void removeHandler() {
        backend.removeHandler(handler);
    }

    @Test
    void recordIsFormattedAsOneJsonLineWithIds() throws Exception {
        logger.atWarning()
                .with(LogKeys.REQUEST_ID, "vm-1.1.1")
                .with(LogKeys.TRACE_ID, "0af7")
                .log("attempt %d said \"%s\"", 2, "a\nb");

        JsonNode line = new JsonMapper().readTree(lines.get(0));
        assertThat(lines.get(0).strip().lines().count()).isEqualTo(1);
        assertThat(line.path("message").asText()).isEqualTo("attempt 2 said \"a\nb\"");
        assertThat(line.path("level").asText()).isEqualTo("WARNING");
        assertThat(line.path("vmId").asText()).isEqualTo("vm-1");
        assertThat(line.path("requestId").asText()).isEqualTo("vm-1.1.1");
        assertThat(line.path("traceId").asText()).isEqualTo("0af7");
    }

    @Test
    void stackTraceIsIncluded() throws Exception {
        logger.atWarning().withCause(new IllegalStateException("broken")).log("plain");

        JsonNode line = new JsonMapper().readTree(lines.get(0));
        assertThat(line.path("message").asText()).isEqualTo("plain");
        assertThat(line.path("error").asText()).contains("IllegalStateException: broken");
        assertThat(line.has("requestId")).isFalse();
    }
}
