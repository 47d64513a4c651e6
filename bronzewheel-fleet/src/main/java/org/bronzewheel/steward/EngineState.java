package org.bronzewheel.steward;

import java.util.List;

/** The state of one engine of the pool, as its steward knows it. */
final class EngineState {
    private final String upstreamName;
    private List<OrderedModel> heldModels = List.of();
    private EngineOrder inFlight;
    private boolean loading;
    private boolean loadCharged;
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

    void makeDue(long nowNanos) {
        nextOrderNanos = nowNanos;
        loadCharged = false;
    }

    void orderSent(EngineOrder order) {
        inFlight = order;
    }

    /** Ends the order in flight; returns false if {@code order} is not the one in flight. */
    boolean endOrder(EngineOrder order, long nextNanos) {
        if (!order.equals(inFlight)) {
            return false;
        }
        inFlight = null;
        nextOrderNanos = nextNanos;
        return true;
    }

    void modelsLoaded(List<OrderedModel> models) {
        heldModels = models;
        loading = false;
        loadCharged = false;
    }

    /** Records that a load may have begun; returns true if it has not been charged yet. */
    boolean markLoading() {
        loading = true;
        boolean first = !loadCharged;
        loadCharged = true;
        return first;
    }
}
