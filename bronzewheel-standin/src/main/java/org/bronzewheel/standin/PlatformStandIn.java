package org.bronzewheel.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.bronzewheel.vm.Vm;

/** A stand-in for the configuration service and the VM list of the platform. */
public final class PlatformStandIn extends StandInServer {
    private static final int NOT_MODIFIED = 304;
    private static final long MAX_WAIT_MILLIS = 60_000;

    private final Published<Texts> configuration = new Published<>(new Texts("", ""));
    private final Published<List<Vm>> vms = new Published<>(List.of());
    private final AtomicLong configurationReads = new AtomicLong();
    private final AtomicLong vmListReads = new AtomicLong();
    private volatile PlatformFaults faults = PlatformFaults.NONE;

    /**
     * Creates a stand-in with nothing published.
     *
     * @param vertx runs the server
     * @param host the IP number to listen on
     * @param port the port to listen on, 0 for any
     */
    public PlatformStandIn(Vertx vertx, String host, int port) {
        super(vertx, host, port);
    }

    private record Texts(String inventory, String rules) {}

    /**
     * Publishes a configuration under the next revision.
     *
     * @param inventory the inventory in YAML
     * @param rules the rules in YAML
     * @return the revision
     */
    public long publishConfiguration(String inventory, String rules) {
        return configuration.publish(new Texts(inventory, rules));
    }

    /**
     * Publishes a list of VMs under the next revision.
     *
     * @param list the VMs
     * @return the revision
     */
    public long publishVms(List<Vm> list) {
        return vms.publish(list.stream().sorted(Comparator.comparing(Vm::vmId)).toList());
    }

    /**
     * Returns the newest published VMs.
     *
     * @return the VMs, ordered by id
     */
    public List<Vm> vms() {
        return vms.newest().value();
    }

    /**
     * Changes the fault switches.
     *
     * @param changed the switches
     */
    public void setFaults(PlatformFaults changed) {
        faults = changed;
        configuration.setStale(changed.stale());
        vms.setStale(changed.stale());
    }

    /**
     * Counts reads of the configuration; a waiting watch counts as one.
     *
     * @return reads since the start
     */
    public long configurationReads() {
        return configurationReads.get();
    }

    /**
     * Counts reads of the VM list; a waiting watch counts as one.
     *
     * @return reads since the start
     */
    public long vmListReads() {
        return vmListReads.get();
    }

    @Override
    void addRoutes(Router router) {
        router.get("/v1/configuration")
                .handler(c -> read(c, configuration, configurationReads, this::document));
        router.get("/v1/vms").handler(c -> read(c, vms, vmListReads, this::list));
        router.put("/admin/configuration").handler(this::putConfiguration);
        router.put("/admin/vms").handler(this::putVms);
        router.put("/admin/faults").handler(this::putFaults);
        router.get("/admin/reads").handler(c -> answer(c, OK, reads()));
    }

    private Object document(Published.Versioned<Texts> served) {
        return Map.of(
                "revision",
                served.revision(),
                "inventory",
                served.value().inventory(),
                "rules",
                served.value().rules());
    }

    private Object list(Published.Versioned<List<Vm>> served) {
        return Map.of("revision", served.revision(), "vms", served.value());
    }

    private Object reads() {
        return Map.of("configurationReads", configurationReads(), "vmListReads", vmListReads());
    }

    private <T> void read(
            RoutingContext context,
            Published<T> published,
            AtomicLong reads,
            Function<Published.Versioned<T>, Object> form) {
        reads.incrementAndGet();
        PlatformFaults now = faults;
        if (now.down()) {
            context.response().reset();
            return;
        }
        long after = longParameter(context, "after", 0);
        long waitMillis = Math.min(longParameter(context, "waitMillis", 0), MAX_WAIT_MILLIS);
        if (now.delayMillis() > 0) {
            vertx().setTimer(
                            now.delayMillis(),
                            timer -> serve(context, published, form, after, waitMillis));
        } else {
            serve(context, published, form, after, waitMillis);
        }
    }

    private <T> void serve(
            RoutingContext context,
            Published<T> published,
            Function<Published.Versioned<T>, Object> form,
            long after,
            long waitMillis) {
        if (context.response().closed()) {
            return;
        }
        if (published.served().revision() > after) {
            answer(context, OK, form.apply(published.served()));
        } else if (waitMillis <= 0) {
            answerEmpty(context, NOT_MODIFIED);
        } else {
            watch(context, published, form, after, waitMillis);
        }
    }

    private <T> void watch(
            RoutingContext context,
            Published<T> published,
            Function<Published.Versioned<T>, Object> form,
            long after,
            long waitMillis) {
        AtomicBoolean ended = new AtomicBoolean();
        Context eventLoop = vertx().getOrCreateContext();
        Runnable end =
                () -> {
                    if (ended.compareAndSet(false, true)) {
                        eventLoop.runOnContext(none -> serve(context, published, form, after, 0));
                    }
                };
        published.watch(end);
        context.response().exceptionHandler(e -> published.unwatch(end));
        vertx().setTimer(
                        waitMillis,
                        timer -> {
                            published.unwatch(end);
                            end.run();
                        });
        // A value published between the read and the watch would be missed otherwise.
        if (published.served().revision() > after) {
            published.unwatch(end);
            end.run();
        }
    }

    private void putConfiguration(RoutingContext context) {
        JsonNode body = requireBody(context);
        long revision =
                publishConfiguration(body.path("inventory").asText(), body.path("rules").asText());
        answer(context, OK, Map.of("revision", revision));
    }

    private void putVms(RoutingContext context) {
        List<Vm> list =
                MAPPER.convertValue(
                        requireBody(context).path("vms"), new TypeReference<List<Vm>>() {});
        answer(context, OK, Map.of("revision", publishVms(list)));
    }

    private void putFaults(RoutingContext context) {
        setFaults(MAPPER.convertValue(requireBody(context), PlatformFaults.class));
        answer(context, OK, faults);
    }

    static JsonNode requireBody(RoutingContext context) {
        try {
            return body(context);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }
}
