package org.bronzewheel.steward;

import java.util.List;

/** What a steward knows of one engine of its pool. */
final class EngineState {
    private final String upstreamName;
    private List<OrderedModel> heldModels = List.of();
    private EngineOrder inFlight;
    private boolean loading;
    private boolean charged;
    private long nextOrderNanos;

    EngineState(String upstreamName, long nowNanos) {
        this.upstreamName = upstreamName;
        nextOrderNanos = nowNanos;
    }

    String upstreamName() {
        return upstreamName;
    }

    boolean isInFlight() {
        return inFlight != null;
    }

    boolean isLoading() {
        return loading;
    }

    boolean isDue(long nowNanos) {
        return inFlight == null && nowNanos - nextOrderNanos >= 0;
    }

    List<OrderedModel> heldModels() {
        return heldModels;
    }

    void orderNow(long nowNanos) {
        nextOrderNanos = nowNanos;
        charged = false;
    }

    void sent(EngineOrder order) {
        inFlight = order;
    }

    /** Ends the order in flight; false where another one is in flight. */
    boolean end(EngineOrder order, long nextNanos) {
        if (!order.equals(inFlight)) {
            return false;
        }
        inFlight = null;
        nextOrderNanos = nextNanos;
        return true;
    }

    void done(List<OrderedModel> models) {
        heldModels = models;
        loading = false;
        charged = false;
    }

    /** Notes that a load may have begun; true where it has not been charged yet. */
    boolean beginLoad() {
        loading = true;
        boolean first = !charged;
        charged = true;
        return first;
    }
}
