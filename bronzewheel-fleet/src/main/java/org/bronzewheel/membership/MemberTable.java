package org.bronzewheel.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the states of the listed routers and selects those that a message carries: its own, then
 * urgent changes, then all others in rotation.
 */
final class MemberTable {
    private static final int SENDS_PER_DOUBLING = 4;

    private final Map<String, MemberState> states = new HashMap<>();
    private final Map<String, Long> lastChangeNanos = new HashMap<>();
    private final Map<String, Integer> urgentSendsLeft = new LinkedHashMap<>();
    private List<String> rotation = List.of();
    private int nextInRotation;
    private MemberState own;

    MemberTable(MemberState own) {
        this.own = own;
    }

    MemberState own() {
        return own;
    }

    void setOwn(MemberState state) {
        if (state.hasUrgentChange(own)) {
            markUrgent(state.vmId());
        }
        own = state;
    }

    MemberState get(String vmId) {
        return vmId.equals(own.vmId()) ? own : states.get(vmId);
    }

    /** Sets which other routers are listed. */
    void setListed(Collection<String> vmIds, long nowNanos) {
        states.keySet().retainAll(vmIds);
        lastChangeNanos.keySet().retainAll(vmIds);
        urgentSendsLeft.keySet().removeIf(id -> !vmIds.contains(id) && !id.equals(own.vmId()));
        for (String vmId : vmIds) {
            states.computeIfAbsent(vmId, MemberState::unseen);
            lastChangeNanos.putIfAbsent(vmId, nowNanos);
        }
        rotation = List.copyOf(vmIds);
        nextInRotation = 0;
    }

    /**
     * Merges the state of another router. Returns the previous state, or null if the router is not
     * listed.
     */
    MemberState merge(MemberState state, long nowNanos) {
        MemberState before = states.get(state.vmId());
        if (before == null) {
            return null;
        }
        MemberState after = before.merge(state);
        if (after.equals(before)) {
            return before;
        }
        states.put(state.vmId(), after);
        if (after.version() != before.version() || after.incarnation() != before.incarnation()) {
            lastChangeNanos.put(state.vmId(), nowNanos);
        }
        if (after.hasUrgentChange(before)) {
            markUrgent(state.vmId());
        }
        return before;
    }

    /** Clears a suspicion without a refutation; returns false if there was none. */
    boolean clearSuspicion(String vmId) {
        MemberState state = states.get(vmId);
        if (state == null || !state.suspect()) {
            return false;
        }
        states.put(vmId, state.refuted(state.refutation()));
        return true;
    }

    long lastChangeNanos(String vmId) {
        return lastChangeNanos.get(vmId);
    }

    /** Excludes a pause of this process from the age of all changes. */
    void excludePause(long gapNanos) {
        lastChangeNanos.replaceAll((vmId, nanos) -> nanos + gapNanos);
    }

    boolean hasUrgent() {
        return !urgentSendsLeft.isEmpty();
    }

    List<MemberState> select(String receiver, int limit) {
        Map<String, MemberState> chosen = new LinkedHashMap<>();
        chosen.put(own.vmId(), own);
        MemberState ofReceiver = states.get(receiver);
        if (ofReceiver != null && ofReceiver.suspect()) {
            // The receiver must learn of the suspicion to refute it.
            chosen.put(receiver, ofReceiver);
        }
        takeUrgent(chosen, limit);
        for (int i = 0; i < rotation.size() && chosen.size() < limit; i++) {
            String vmId = rotation.get(nextInRotation);
            nextInRotation = (nextInRotation + 1) % rotation.size();
            MemberState state = states.get(vmId);
            if (state.incarnation() != 0) {
                chosen.putIfAbsent(vmId, state);
            }
        }
        return new ArrayList<>(chosen.values());
    }

    private void takeUrgent(Map<String, MemberState> chosen, int limit) {
        Iterator<Map.Entry<String, Integer>> urgent = urgentSendsLeft.entrySet().iterator();
        while (urgent.hasNext() && chosen.size() < limit) {
            Map.Entry<String, Integer> entry = urgent.next();
            chosen.put(entry.getKey(), get(entry.getKey()));
            entry.setValue(entry.getValue() - 1);
            if (entry.getValue() <= 0) {
                urgent.remove();
            }
        }
    }

    private void markUrgent(String vmId) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(states.size() + 1);
        urgentSendsLeft.put(vmId, SENDS_PER_DOUBLING * doublings);
    }
}
