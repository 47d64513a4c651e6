package org.bronzewheel.telemetry;

import io.opentelemetry.context.Context;
import io.opentelemetry.sdk.trace.ReadWriteSpan;
import io.opentelemetry.sdk.trace.ReadableSpan;
import io.opentelemetry.sdk.trace.SpanProcessor;

/**
 * A processor that drops spans. The tracing library makes no trace ids without a processor, and
 * logs and upstreams need them also where no spans are exported.
 */
final class UnexportedSpans implements SpanProcessor {
    @Override
    public void onStart(Context parent, ReadWriteSpan span) {}

    @Override
    public boolean isStartRequired() {
        return false;
    }

    @Override
    public void onEnd(ReadableSpan span) {}

    @Override
    public boolean isEndRequired() {
        return false;
    }
}
