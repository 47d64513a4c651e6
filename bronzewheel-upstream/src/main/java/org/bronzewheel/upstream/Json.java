package org.bronzewheel.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import org.bronzewheel.request.Usage;

/** The JSON forms of requests to upstreams and of their answers. */
final class Json {
    static final JsonMapper MAPPER =
            JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

    private Json() {}

    static Buffer write(JsonNode node) {
        try {
            return Buffer.buffer(MAPPER.writeValueAsBytes(node));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /** Parses a whole value; an empty text is no value. */
    static JsonNode read(Buffer body) throws IOException {
        JsonNode node = MAPPER.readTree(body.getBytes());
        if (node == null || node.isMissingNode()) {
            throw new IOException("empty body");
        }
        return node;
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static Usage usage(JsonNode node, String prompt, String completion, String workerMillis) {
        return new Usage(
                node.path(prompt).asLong(0),
                node.path(completion).asLong(0),
                node.path(workerMillis).asLong(0));
    }
}
