package org.bronzewheel.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bronzewheel.inventory.ModelVersion;

/** The models of an engine, and the orders that change them. */
final class HeldModels {
    static final String READY = "READY";
    static final String LOADING = "LOADING";

    private final boolean checksFencing;
    private final long loadMillis;
    private final Map<String, Held> held = new LinkedHashMap<>();
    private long fencingNumber;

    HeldModels(List<ModelVersion> initial, boolean checksFencing, long loadMillis) {
        this.checksFencing = checksFencing;
        this.loadMillis = loadMillis;
        for (ModelVersion model : initial) {
            held.put(model.name(), new Held(model.name(), model.version(), model.adapters(), 0));
        }
    }

    private record Held(String model, String version, List<String> adapters, long readyAtMillis) {
        boolean isReady(long nowMillis) {
            return nowMillis >= readyAtMillis;
        }

        boolean equalsWanted(Held wanted) {
            return version.equals(wanted.version) && adapters.equals(wanted.adapters);
        }
    }

    /** Takes an order; false where its fencing number is old and the engine checks it. */
    synchronized boolean order(long number, JsonNode models, long nowMillis) {
        if (checksFencing && number < fencingNumber) {
            return false;
        }
        fencingNumber = number;
        Map<String, Held> wanted = new LinkedHashMap<>();
        for (JsonNode model : models) {
            Held ordered = parse(model, nowMillis + loadMillis);
            Held current = held.get(ordered.model());
            boolean keep = current != null && current.equalsWanted(ordered);
            wanted.put(ordered.model(), keep ? current : ordered);
        }
        held.clear();
        held.putAll(wanted);
        return true;
    }

    synchronized boolean isReady(String model, long nowMillis) {
        Held found = held.get(model);
        return found != null && found.isReady(nowMillis);
    }

    synchronized String state(long nowMillis) {
        return held.values().stream().allMatch(h -> h.isReady(nowMillis)) ? READY : LOADING;
    }

    synchronized Object listing(long nowMillis) {
        List<Object> models = new ArrayList<>();
        for (Held model : held.values()) {
            models.add(
                    Map.of(
                            "model", model.model(),
                            "version", model.version(),
                            "adapters", model.adapters(),
                            "state", model.isReady(nowMillis) ? READY : LOADING));
        }
        return Map.of("models", models, "fencingNumber", fencingNumber);
    }

    private static Held parse(JsonNode model, long readyAtMillis) {
        List<String> adapters = new ArrayList<>();
        model.path("adapters").forEach(adapter -> adapters.add(adapter.asText()));
        return new Held(
                model.path("model").asText(),
                model.path("version").asText(),
                List.copyOf(adapters),
                readyAtMillis);
    }
}
