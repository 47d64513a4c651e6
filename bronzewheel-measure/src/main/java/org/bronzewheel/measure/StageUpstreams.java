package org.bronzewheel.measure;

import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bronzewheel.catalog.StagePool;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.stages.StageCallFailure;
import org.bronzewheel.stages.StageCallListener;
import org.bronzewheel.stages.StageItem;
import org.bronzewheel.stages.StageItemOutcome;
import org.bronzewheel.stages.StageItemOutcome.Kind;
import org.bronzewheel.stages.StagePort;
import org.bronzewheel.upstreams.UpstreamEntry;

/** Fake stage upstreams that work as slowly, and have as little room, as a profile says. */
final class StageUpstreams implements StagePort {
    private final StageProfile profile;
    private final Loop loop;
    private final Map<String, Machine> machines = new HashMap<>();
    private final Map<String, Machine> makers = new HashMap<>();
    private final Set<String> madePieces = new HashSet<>();
    private long handles;
    private long calls;
    private long pieces;
    private long remade;
    private double busyMillis;
    private long crossingBytes;

    StageUpstreams(StageProfile profile, Loop loop) {
        this.profile = profile;
        this.loop = loop;
    }

    List<UpstreamEntry> entries() {
        List<UpstreamEntry> entries = new ArrayList<>();
        for (StageProfile.Pool pool : profile.pools()) {
            for (int i = 0; i < pool.upstreams(); i++) {
                String domain = profile.failureDomains().get(i % profile.failureDomains().size());
                UpstreamEntry entry =
                        new UpstreamEntry(
                                pool.service() + "-" + i,
                                pool.service(),
                                "10.0.0.1:80",
                                domain,
                                pool.limits().slots(),
                                0,
                                false);
                entries.add(entry);
                machines.put(entry.id(), new Machine(entry, pool.limits()));
            }
        }
        return entries;
    }

    double piecesPerCall() {
        return (double) pieces / Math.max(1, calls);
    }

    double busySeconds() {
        return busyMillis / 1_000;
    }

    /** Returns the share of pieces that were made more than once. */
    double remadeShare() {
        return (double) remade / Math.max(1, pieces);
    }

    double crossingMegabytes() {
        return crossingBytes / 1e6;
    }

    @Override
    public Disposable run(UpstreamEntry target, List<StageItem> items, StageCallListener listener) {
        Call call = new Call(items, listener);
        machines.get(target.id()).offer(call);
        return Disposable.fromRunnable(() -> call.dropped = true);
    }

    @Override
    public void free(UpstreamEntry target, List<String> freed) {
        loop.after(1, () -> freed.forEach(this::forget));
    }

    /** Books inputs that a model engine in a failure domain reads. */
    void readAt(String failureDomain, List<String> inputs) {
        inputs.forEach(handle -> cross(failureDomain, handle));
    }

    private void cross(String failureDomain, String handle) {
        Machine maker = makers.get(handle);
        if (maker != null && !maker.entry.failureDomain().equals(failureDomain)) {
            crossingBytes += maker.kept.getOrDefault(handle, 0L);
        }
    }

    private void forget(String handle) {
        Machine maker = makers.remove(handle);
        if (maker != null) {
            maker.usedBytes -= maker.kept.remove(handle);
        }
    }

    private StageProfile.StageRoute route(StageItem item) {
        return profile.route(item.requestId().substring(0, item.requestId().indexOf('/')));
    }

    private static final class Call {
        private final List<StageItem> items;
        private final StageCallListener listener;
        private boolean dropped;

        Call(List<StageItem> items, StageCallListener listener) {
            this.items = items;
            this.listener = listener;
        }
    }

    private final class Machine {
        private final UpstreamEntry entry;
        private final StagePool limits;
        private final Map<String, Long> kept = new HashMap<>();
        private final Deque<Call> queue = new ArrayDeque<>();
        private int running;
        private long usedBytes;

        Machine(UpstreamEntry entry, StagePool limits) {
            this.entry = entry;
            this.limits = limits;
        }

        void offer(Call call) {
            if (running >= limits.slots() && queue.size() >= limits.queue()) {
                loop.after(1, () -> call.listener.onFailure(StageCallFailure.REJECTED, "full"));
                return;
            }
            queue.add(call);
            loop.after(1, this::next);
        }

        private void next() {
            while (running < limits.slots() && !queue.isEmpty()) {
                Call call = queue.poll();
                if (!call.dropped) {
                    work(call);
                }
            }
        }

        private void work(Call call) {
            running++;
            calls++;
            List<StageItemOutcome> outcomes = call.items.stream().map(this::make).toList();
            double work =
                    call.items.stream()
                            .mapToDouble(item -> route(item).workFactors().get(item.stage()))
                            .sum();
            long millis = Math.round(limits.callMillis() + work * limits.pieceMillis());
            busyMillis += millis;
            loop.after(
                    millis,
                    () -> {
                        running--;
                        if (!call.dropped) {
                            call.listener.onOutcomes(outcomes);
                        }
                        next();
                    });
        }

        private StageItemOutcome make(StageItem item) {
            if (!makers.keySet().containsAll(item.inputs())) {
                return new StageItemOutcome(Kind.INPUT_GONE, "");
            }
            long bytes = route(item).stages().get(item.stage()).resultBytes();
            if (usedBytes + bytes > limits.roomBytes()) {
                return new StageItemOutcome(Kind.NO_ROOM, "");
            }
            item.inputs().forEach(handle -> cross(entry.failureDomain(), handle));
            String handle = entry.id() + "/" + handles++;
            usedBytes += bytes;
            kept.put(handle, bytes);
            makers.put(handle, this);
            loop.after(limits.resultMillis(), () -> forget(handle));
            pieces++;
            if (!madePieces.add(item.requestId() + "/" + item.stage() + "/" + item.piece())) {
                remade++;
            }
            return new StageItemOutcome(Kind.MADE, handle);
        }
    }
}
