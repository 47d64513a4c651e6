package org.bronzewheel.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.bronzewheel.machine.VirtualNetwork;

/**
 * A simulated platform that publishes one document; it can be unavailable or return wrong answers.
 */
public final class VirtualPlatform {
    /** Supplies the answer to a read instead of the newest document. */
    public interface Replica {
        Optional<RevisionedDocument> answer(long afterRevision);
    }

    private static final long READ_MILLIS = 2;

    private record Watch(long afterRevision, Consumer<Optional<RevisionedDocument>> reader) {}

    private final VirtualNetwork network;
    private final List<Watch> watches = new ArrayList<>();
    private Replica replica = this::newerThan;
    private RevisionedDocument current;
    private boolean up = true;
    private long reads;

    public VirtualPlatform(VirtualNetwork network) {
        this.network = network;
    }

    public long reads() {
        return reads;
    }

    public void setUp(boolean isUp) {
        up = isUp;
    }

    public void setReplica(Replica newReplica) {
        replica = newReplica;
    }

    public void publish(RevisionedDocument document) {
        current = document;
        if (!up) {
            return;
        }
        List<Watch> waiting = List.copyOf(watches);
        watches.clear();
        waiting.forEach(watch -> answer(watch));
    }

    /** Reads the document; runs the failure callback if the platform is down. */
    public void read(
            RelayEvent.Read read, Consumer<Optional<RevisionedDocument>> reader, Runnable failure) {
        reads++;
        if (!up) {
            network.after(READ_MILLIS, failure);
            return;
        }
        Watch watch = new Watch(read.afterRevision(), reader);
        if (read.waitMillis() == 0 || replica.answer(read.afterRevision()).isPresent()) {
            answer(watch);
            return;
        }
        watches.add(watch);
        network.after(
                read.waitMillis(),
                () -> {
                    if (watches.remove(watch)) {
                        answer(watch);
                    }
                });
    }

    private void answer(Watch watch) {
        Optional<RevisionedDocument> answer = replica.answer(watch.afterRevision());
        network.after(READ_MILLIS, () -> watch.reader().accept(answer));
    }

    private Optional<RevisionedDocument> newerThan(long afterRevision) {
        return Optional.ofNullable(current)
                .filter(document -> document.version().revision() > afterRevision);
    }
}
