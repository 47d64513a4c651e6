package org.bronzewheel.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;

/**
 * One line of a router's log.
 *
 * @param at when it was written, by the clock of its VM
 * @param vmId the VM that wrote it
 * @param level its level
 * @param requestId the request that it belongs to, or empty for one about the router itself
 * @param message its message
 */
record LogLine(Instant at, String vmId, String level, String requestId, String message) {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final String REQUEST = "request=";

    /**
     * Reads a line; what stands before the JSON object, for example a collector's stamp, is
     * skipped.
     *
     * @param text the line
     * @return the line, or empty where it is no line of a router's log
     */
    static Optional<LogLine> parse(String text) {
        int begin = text.indexOf('{');
        if (begin < 0) {
            return Optional.empty();
        }
        try {
            JsonNode node = MAPPER.readTree(text.substring(begin));
            if (!node.path("time").isTextual() || !node.path("message").isTextual()) {
                return Optional.empty();
            }
            String message = node.path("message").asText();
            return Optional.of(
                    new LogLine(
                            Instant.parse(node.path("time").asText()),
                            node.path("vmId").asText(),
                            node.path("level").asText(),
                            node.path("requestId").asText(requestIn(message)),
                            message));
        } catch (JsonProcessingException | DateTimeException e) {
            return Optional.empty();
        }
    }

    private static String requestIn(String message) {
        int begin = message.indexOf(REQUEST);
        if (begin < 0) {
            return "";
        }
        String rest = message.substring(begin + REQUEST.length());
        int end = rest.indexOf(' ');
        return end < 0 ? rest : rest.substring(0, end);
    }

    boolean isAbout(String request) {
        return requestId.equals(request);
    }

    boolean isAboutNoRequest() {
        return requestId.isEmpty();
    }
}
