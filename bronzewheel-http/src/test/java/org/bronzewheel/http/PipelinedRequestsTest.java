package org.bronzewheel.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests when the next pipelined request is passed on. */
class PipelinedRequestsTest {
    private final ConnectionProgress progress = new ConnectionProgress();
    private final EmbeddedChannel channel = new EmbeddedChannel(new PipelinedRequests(progress));

    @AfterEach
    void close() {
        channel.finishAndReleaseAll();
    }

    private void receive(int requests) {
        for (int i = 0; i < requests; i++) {
            channel.writeInbound(
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/x"));
        }
    }

    private void answer() {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        progress.written(response, channel.newPromise());
        channel.writeOutbound(response);
    }

    private void setWritable(boolean writable) {
        channel.unsafe().outboundBuffer().setUserDefinedWritability(1, writable);
        channel.runPendingTasks();
    }

    private int passed() {
        return channel.inboundMessages().size();
    }

    // Requests were handled, and their answers collected, although the caller did not read.
    @Test
    void noRequestIsPassedOnAndNothingReadWhileTheChannelIsNotWritable() {
        receive(1);
        setWritable(false);
        answer();
        assertThat(channel.config().isAutoRead()).isTrue();
        receive(1);
        assertThat(passed()).isEqualTo(1);
        assertThat(channel.config().isAutoRead()).isFalse();
        channel.config().setAutoRead(true);
        assertThat(channel.config().isAutoRead()).isFalse();
        setWritable(true);
        assertThat(passed()).isEqualTo(2);
        assertThat(channel.config().isAutoRead()).isTrue();
    }

    @Test
    void requestsArePassedOnOneByOne() {
        receive(8);
        assertThat(passed()).isEqualTo(1);
        receive(2);
        assertThat(channel.config().isAutoRead()).isFalse();
        for (int i = 2; i <= 10; i++) {
            answer();
            assertThat(passed()).isEqualTo(i);
        }
        assertThat(channel.config().isAutoRead()).isTrue();
    }
}
