package org.bronzewheel.upstream;

import io.vertx.core.buffer.Buffer;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** An incremental decoder of server-sent events, which reads their data only. */
final class SseDecoder {
    private static final String DATA = "data:";
    private static final int MAX_LINE_BYTES = 64 << 10;
    private static final int MAX_EVENT_CHARS = 1 << 20;

    private final Consumer<String> events;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();

    SseDecoder(Consumer<String> events) {
        this.events = events;
    }

    /**
     * Decodes a chunk.
     *
     * @throws IllegalStateException where a line or an event is too long
     */
    void decode(Buffer chunk) {
        for (byte b : chunk.getBytes()) {
            if (b == '\n') {
                endLine(line.toString(StandardCharsets.UTF_8));
                line.reset();
            } else if (b != '\r') {
                append(b);
            }
        }
    }

    private void append(byte b) {
        if (line.size() == MAX_LINE_BYTES) {
            throw new IllegalStateException("a line exceeds " + MAX_LINE_BYTES + " bytes");
        }
        line.write(b);
    }

    private void endLine(String text) {
        if (text.isEmpty()) {
            endEvent();
        } else if (text.startsWith(DATA)) {
            if (data.length() > 0) {
                data.append('\n');
            }
            data.append(text.substring(DATA.length()).strip());
            if (data.length() > MAX_EVENT_CHARS) {
                throw new IllegalStateException("an event exceeds " + MAX_EVENT_CHARS);
            }
        }
    }

    private void endEvent() {
        if (data.length() == 0) {
            return;
        }
        String event = data.toString();
        data.setLength(0);
        events.accept(event);
    }
}
