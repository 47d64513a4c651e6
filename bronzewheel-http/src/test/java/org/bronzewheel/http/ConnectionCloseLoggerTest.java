package org.bronzewheel.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConnectionCloseLoggerTest {
    private static final Logger LOGGER = Logger.getLogger(ConnectionCloseLogger.class.getName());

    private final List<String> messages = new CopyOnWriteArrayList<>();
    private final ConnectionProgress progress = new ConnectionProgress();
    private final EmbeddedChannel channel =
            new EmbeddedChannel(new ConnectionCloseLogger(progress));
    private final Handler handler =
            new Handler() {
                @Override
                public void publish(LogRecord record) {
                    messages.add(record.getMessage());
                }

                @Override
                public void flush() {}

                @Override
                public void close() {}
            };

    @BeforeEach
    void addHandler() {
        LOGGER.addHandler(handler);
    }

    @AfterEach
    void removeHandler() {
        LOGGER.removeHandler(handler);
        channel.close().syncUninterruptibly();
    }

    @Test
    void aCloseThatLeavesARequestUnansweredIsLogged() {
        progress.received(LastHttpContent.EMPTY_LAST_CONTENT);
        channel.close().syncUninterruptibly();
        assertThat(messages).hasSize(1);
        assertThat(messages.get(0)).contains("requests=1");
    }

    @Test
    void aCloseAfterTheLastResponseIsNotLogged() {
        progress.received(LastHttpContent.EMPTY_LAST_CONTENT);
        progress.written(LastHttpContent.EMPTY_LAST_CONTENT, channel.newPromise());
        channel.close().syncUninterruptibly();
        assertThat(messages).isEmpty();
    }
}
