package org.bronzewheel.document;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.bronzewheel.machine.VirtualNetwork;

/** A fully meshed fleet of relays in virtual time. */
final class RelayFixture {
    static final RelaySettings SETTINGS = RelaySettings.DEFAULT;

    final VirtualNetwork network;
    final VirtualPlatform platform;
    final Map<String, VirtualRelay> relays = new LinkedHashMap<>();
    final List<VirtualRelay> everStarted = new ArrayList<>();
    private final Set<RelayRule> rules;
    private final long checkMillis;
    private final int size;
    private final int readers;

    RelayFixture(long seed, int size, int readers, Set<RelayRule> rules, long checkMillis) {
        network = new VirtualNetwork(seed);
        platform = new VirtualPlatform(network);
        this.size = size;
        this.readers = readers;
        this.rules = rules;
        this.checkMillis = checkMillis;
    }

    static RelayFixture healthy(int size, int readers) {
        return new RelayFixture(1, size, readers, EnumSet.allOf(RelayRule.class), 5);
    }

    /**
     * Creates a document whose digest is derived from its text; a text that begins with "bad" is
     * invalid.
     */
    static RevisionedDocument document(long revision, String text) {
        ByteString content = ByteString.copyFromUtf8(text);
        String digest = String.format("%064x", text.hashCode());
        return new RevisionedDocument(new DocumentVersion(revision, digest), content);
    }

    static DocumentVersion version(long revision, String text) {
        return document(revision, text).version();
    }

    void startAll() {
        for (int i = 0; i < size; i++) {
            start(i);
        }
    }

    /** Starts a relay without state, replacing one that runs on the VM. */
    VirtualRelay start(int index) {
        String vmId = vmId(index);
        stop(index);
        RelayMachine machine =
                new RelayMachine(
                        SETTINGS, new SplittableRandom(network.random().nextLong()), rules);
        VirtualRelay relay =
                new VirtualRelay(
                        vmId,
                        network,
                        platform,
                        machine,
                        RelayFixture::check,
                        checkMillis,
                        out ->
                                network.deliver(
                                        vmId,
                                        out.toVmId(),
                                        () -> deliver(vmId, out.toVmId(), out.message())));
        relays.put(vmId, relay);
        everStarted.add(relay);
        List<String> others = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            if (i != index) {
                others.add(vmId(i));
            }
        }
        relay.setPeers(new RelayPeers(others, index < readers, size));
        relay.start(SETTINGS.tickMillis());
        return relay;
    }

    void stop(int index) {
        VirtualRelay before = relays.remove(vmId(index));
        if (before != null) {
            before.stop();
        }
    }

    VirtualRelay relay(int index) {
        return relays.get(vmId(index));
    }

    static String vmId(int index) {
        return "vm-" + index;
    }

    private void deliver(String from, String to, RelayMessage message) {
        VirtualRelay relay = relays.get(to);
        if (relay != null) {
            relay.receive(from, RelayCodec.fromWire(RelayCodec.toWire(message)));
        }
    }

    private static CheckResult check(RevisionedDocument document) {
        String text = document.content().toStringUtf8();
        if (!document(document.version().revision(), text).version().equals(document.version())) {
            return new CheckResult.Corrupt();
        }
        return text.startsWith("bad")
                ? new CheckResult.Invalid("bad text")
                : new CheckResult.Valid();
    }
}
