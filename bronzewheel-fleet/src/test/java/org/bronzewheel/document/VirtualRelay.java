package org.bronzewheel.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.bronzewheel.machine.Outgoing;
import org.bronzewheel.machine.Step;
import org.bronzewheel.machine.VirtualNetwork;
import org.bronzewheel.transport.Peer;

/** Runs a relay state machine on a virtual network against a virtual platform. */
public final class VirtualRelay {
    private final String vmId;
    private final VirtualNetwork network;
    private final VirtualPlatform platform;
    private final RelayMachine machine;
    private final Function<RevisionedDocument, CheckResult> checker;
    private final long checkMillis;
    private final Consumer<Outgoing<RelayMessage>> sender;
    private final List<DocumentVersion> accepted = new ArrayList<>();
    private final List<DocumentVersion> refused = new ArrayList<>();
    private final List<DocumentVersion> checks = new ArrayList<>();
    private Consumer<RevisionedDocument> listener = document -> {};
    private RevisionedDocument lastValid;
    private boolean running = true;

    public VirtualRelay(
            String vmId,
            VirtualNetwork network,
            VirtualPlatform platform,
            RelayMachine machine,
            Function<RevisionedDocument, CheckResult> checker,
            long checkMillis,
            Consumer<Outgoing<RelayMessage>> sender) {
        this.vmId = vmId;
        this.network = network;
        this.platform = platform;
        this.machine = machine;
        this.checker = checker;
        this.checkMillis = checkMillis;
        this.sender = sender;
    }

    public void onAccepted(Consumer<RevisionedDocument> newListener) {
        listener = newListener;
    }

    /** Accepted versions in the order of acceptance. */
    public List<DocumentVersion> accepted() {
        return accepted;
    }

    public List<DocumentVersion> refused() {
        return refused;
    }

    public List<DocumentVersion> checks() {
        return checks;
    }

    public void start(long tickMillis) {
        apply(machine::tick);
        network.after(tickMillis, () -> nextTick(tickMillis));
    }

    public void stop() {
        running = false;
    }

    public void setPeers(RelayPeers peers) {
        apply(now -> machine.setPeers(peers, now));
    }

    public void receive(String from, RelayMessage message) {
        apply(now -> machine.receive(new Peer(from, 1), message, now));
    }

    private void nextTick(long tickMillis) {
        if (running) {
            network.runOn(vmId, () -> apply(machine::tick));
            network.after(tickMillis, () -> nextTick(tickMillis));
        }
    }

    private void apply(LongFunction<Step<RelayMessage, RelayEvent>> input) {
        if (!running) {
            return;
        }
        Step<RelayMessage, RelayEvent> step = input.apply(network.nowNanos());
        step.messages().forEach(sender);
        step.events().forEach(this::handle);
    }

    private void handle(RelayEvent event) {
        if (event instanceof RelayEvent.Read read) {
            platform.read(
                    read,
                    answer -> network.runOn(vmId, () -> completeRead(answer)),
                    () -> network.runOn(vmId, () -> apply(machine::readFailed)));
        } else if (event instanceof RelayEvent.Check check) {
            checks.add(check.document().version());
            network.after(
                    checkMillis, () -> network.runOn(vmId, () -> completeCheck(check.document())));
        } else if (event instanceof RelayEvent.Accepted now) {
            accepted.add(now.version());
            listener.accept(lastValid);
        } else if (event instanceof RelayEvent.Refused now) {
            refused.add(now.version());
        }
    }

    private void completeRead(Optional<RevisionedDocument> answer) {
        apply(now -> machine.readCompleted(answer, now));
    }

    private void completeCheck(RevisionedDocument document) {
        CheckResult result = checker.apply(document);
        lastValid = document;
        apply(now -> machine.checked(document, result, now));
    }
}
