package org.bronzewheel.telemetry;

import static com.google.common.truth.Truth.assertThat;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.context.Context;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TracingTest {
    private static final String TRACE_ID = "0af7651916cd43dd8448eb211c80319c";
    private static final String PARENT = "00-" + TRACE_ID + "-b7ad6b7169203331-01";

    private final Tracing tracing = Tracing.create("vm-1", "fd-1", "");

    @Test
    void aCallersTraceGoesOnToTheUpstreams() {
        Context caller = tracing.extract(Map.of("traceparent", PARENT)::get);
        Span span = tracing.begin("hop", SpanKind.CLIENT, caller);

        String sent = tracing.inject(caller.with(span)).get("traceparent");

        assertThat(sent).startsWith("00-" + TRACE_ID + "-" + span.getSpanContext().getSpanId());
        assertThat(sent).doesNotContain("b7ad6b7169203331");
    }

    @Test
    void aCallWithoutTraceBeginsOneAlsoWithoutExport() {
        Context root = tracing.extract(name -> null);
        Span span = tracing.begin("hop", SpanKind.CLIENT, root);

        assertThat(span.getSpanContext().isValid()).isTrue();
        assertThat(tracing.inject(root.with(span))).containsKey("traceparent");
    }
}
