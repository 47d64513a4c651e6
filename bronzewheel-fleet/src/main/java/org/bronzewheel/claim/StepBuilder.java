package org.bronzewheel.claim;

import java.util.ArrayList;
import java.util.List;
import org.bronzewheel.machine.Outgoing;
import org.bronzewheel.machine.Step;

/** Collects the messages and events that result from one input to the claim machine. */
final class StepBuilder {
    private final List<Outgoing<ClaimMessage>> messages = new ArrayList<>();
    private final List<ClaimEvent> events = new ArrayList<>();

    void send(String toVmId, ClaimMessage message) {
        messages.add(new Outgoing<>(toVmId, message));
    }

    void sendAll(List<Outgoing<ClaimMessage>> outgoing) {
        messages.addAll(outgoing);
    }

    void emit(ClaimEvent event) {
        events.add(event);
    }

    Step<ClaimMessage, ClaimEvent> build() {
        return new Step<>(List.copyOf(messages), List.copyOf(events));
    }
}
