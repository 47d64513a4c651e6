package org.bronzewheel.telemetry;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import java.util.HashMap;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.bronzewheel.service.Service;

/** A source of spans that takes over and hands on the W3C trace context. */
public final class Tracing implements Service {
    private static final TextMapGetter<UnaryOperator<String>> GETTER =
            (headers, name) -> headers == null ? null : headers.apply(name);

    private final SdkTracerProvider provider;
    private final Tracer tracer;

    private Tracing(SdkTracerProvider provider) {
        this.provider = provider;
        this.tracer = provider.get("org.bronzewheel.router");
    }

    /**
     * Creates a source of spans.
     *
     * @param vmId the VM, named by each span's resource
     * @param failureDomain its failure domain
     * @param otlpEndpoint the URL that takes spans by OTLP over HTTP, empty to export none
     * @return the source
     */
    public static Tracing create(String vmId, String failureDomain, String otlpEndpoint) {
        SdkTracerProviderBuilder builder = SdkTracerProvider.builder();
        if (otlpEndpoint.isEmpty()) {
            builder.addSpanProcessor(new UnexportedSpans());
        } else {
            OtlpHttpSpanExporter exporter =
                    OtlpHttpSpanExporter.builder().setEndpoint(otlpEndpoint).build();
            builder.addSpanProcessor(BatchSpanProcessor.builder(exporter).build());
        }
        return new Tracing(builder.setResource(resource(vmId, failureDomain)).build());
    }

    private static Resource resource(String vmId, String failureDomain) {
        return Resource.create(
                Attributes.of(
                        AttributeKey.stringKey("service.name"),
                        "bronzewheel-router",
                        AttributeKey.stringKey("service.instance.id"),
                        vmId,
                        AttributeKey.stringKey("bronzewheel.failure_domain"),
                        failureDomain));
    }

    @Override
    public void start() {}

    @Override
    public void stop() {
        provider.shutdown();
    }

    /**
     * Begins a span.
     *
     * @param name what is done
     * @param kind which side of a call it is
     * @param parent the context of the parent
     * @return the span, to be ended by the caller
     */
    public Span begin(String name, SpanKind kind, Context parent) {
        return tracer.spanBuilder(name).setSpanKind(kind).setParent(parent).startSpan();
    }

    /**
     * Reads the trace context of incoming headers.
     *
     * @param headers gives the value of a header, or null
     * @return the context
     */
    public Context extract(UnaryOperator<String> headers) {
        return W3CTraceContextPropagator.getInstance().extract(Context.root(), headers, GETTER);
    }

    /**
     * Writes a trace context as headers.
     *
     * @param context the context
     * @return the headers to send
     */
    public Map<String, String> inject(Context context) {
        Map<String, String> headers = new HashMap<>();
        W3CTraceContextPropagator.getInstance().inject(context, headers, Map::put);
        return headers;
    }
}
