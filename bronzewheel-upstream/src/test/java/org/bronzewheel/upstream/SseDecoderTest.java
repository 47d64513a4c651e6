package org.bronzewheel.upstream;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SseDecoderTest {
    private final List<String> events = new ArrayList<>();
    private final SseDecoder decoder = new SseDecoder(events::add);

    @Test
    void linesOfDataAreJoined() {
        decoder.decode(Buffer.buffer("data: a\ndata: b\r\n\n"));
        assertThat(events).containsExactly("a\nb");
    }

    @Test
    void anEventWithoutEndIsRefused() {
        Buffer line = Buffer.buffer("data: " + "x".repeat(10_000) + "\n");
        assertThrows(
                IllegalStateException.class,
                () -> {
                    for (int i = 0; i < 1_000; i++) {
                        decoder.decode(line);
                    }
                });
        assertThat(events).isEmpty();
    }
}
