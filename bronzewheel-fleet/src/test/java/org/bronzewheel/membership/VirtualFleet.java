package org.bronzewheel.membership;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import org.bronzewheel.document.DocumentVersion;
import org.bronzewheel.document.RevisionedDocument;
import org.bronzewheel.document.VirtualPlatform;
import org.bronzewheel.machine.VirtualNetwork;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmList;
import org.bronzewheel.vm.VmRole;
import org.bronzewheel.vm.VmState;
import org.bronzewheel.wire.PeerFrame;

/** A simulated fleet of routers with a platform in virtual time, for tests and measurements. */
final class VirtualFleet {
    static final MembershipSettings SETTINGS = MembershipSettings.DEFAULT;
    static final long LIST_CHECK_MILLIS = 5;
    static final long CONFIGURATION_CHECK_MILLIS = 200;

    private static final long START_INCARNATION = 1_790_000_000_000L;

    final VirtualNetwork network;
    final VirtualPlatform listPlatform;
    final VirtualPlatform configurationPlatform;
    final Map<String, VirtualRouter> routers = new LinkedHashMap<>();
    private long nextIncarnation = START_INCARNATION;
    private VmList list;
    private Set<DetectorRule> rules = EnumSet.allOf(DetectorRule.class);
    private boolean recordsViews = true;
    private long messages;
    private long bytes;

    VirtualFleet(long seed, int size, int domains, int upstreams) {
        network = new VirtualNetwork(seed);
        listPlatform = new VirtualPlatform(network);
        configurationPlatform = new VirtualPlatform(network);
        List<Vm> vms = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            String address = "10.0." + i / 250 + "." + (i % 250 + 1);
            vms.add(
                    new Vm(
                            vmId(i),
                            VmRole.ROUTER,
                            VmState.LIVE,
                            "domain-" + i % domains,
                            address + ":7000",
                            address + ":8080"));
        }
        for (int i = 0; i < upstreams; i++) {
            vms.add(
                    new Vm(
                            "upstream-" + i,
                            VmRole.UPSTREAM,
                            VmState.LIVE,
                            "domain-" + i % domains,
                            "",
                            ""));
        }
        publishList(new VmList(1, vms));
    }

    static String vmId(int index) {
        return String.format("router-%03d", index);
    }

    /** Starts all routers and runs until the membership is stable. */
    static VirtualFleet settled(long seed, int size, int domains) {
        VirtualFleet fleet = new VirtualFleet(seed, size, domains, 0);
        fleet.startAll();
        fleet.network.runFor(30_000);
        return fleet;
    }

    /** Sets the rules of routers that start from now on. */
    void setRules(Set<DetectorRule> newRules) {
        rules = newRules;
    }

    Set<DetectorRule> rules() {
        return rules;
    }

    void startAll() {
        list.routers().forEach(vm -> start(vm.vmId()));
    }

    VirtualRouter start(String vmId) {
        kill(vmId);
        VirtualRouter router = new VirtualRouter(this, new Peer(vmId, nextIncarnation++));
        routers.put(vmId, router);
        router.start();
        return router;
    }

    void kill(String vmId) {
        VirtualRouter before = routers.remove(vmId);
        if (before != null) {
            before.stop();
        }
    }

    VirtualRouter router(int index) {
        return routers.get(vmId(index));
    }

    Collection<VirtualRouter> others(String vmId) {
        return routers.values().stream().filter(r -> !r.self.vmId().equals(vmId)).toList();
    }

    VmList list() {
        return list;
    }

    void publishList(VmList newList) {
        list = newList;
        listPlatform.publish(VmListCodec.toDocument(newList));
    }

    /** Publishes the next list with changed entries. */
    void changeList(UnaryOperator<Vm> change) {
        List<Vm> vms = list.vms().stream().map(change).toList();
        publishList(new VmList(list.revision() + 1, vms));
    }

    /** Publishes a configuration whose compressed form has a given size. */
    DocumentVersion publishConfiguration(long revision, int compressedBytes) {
        byte[] content = new byte[compressedBytes];
        DocumentVersion version = new DocumentVersion(revision, String.format("%064x", revision));
        configurationPlatform.publish(
                new RevisionedDocument(version, ByteString.copyFrom(content)));
        return version;
    }

    /** Runs until all routers meet a condition; returns the time taken, or the limit. */
    long runUntil(Predicate<VirtualRouter> condition, long limitMillis) {
        long elapsedMillis = 0;
        while (elapsedMillis < limitMillis && !routers.values().stream().allMatch(condition)) {
            network.runFor(10);
            elapsedMillis += 10;
        }
        return elapsedMillis;
    }

    void transmit(String from, String to, PeerFrame frame) {
        int size = frame.getSerializedSize();
        messages++;
        bytes += size + CodedOutputStream.computeUInt32SizeNoTag(size);
        network.deliver(from, to, () -> receive(to, frame));
    }

    /** Returns whether routers keep all their views; disabled in large fleets to save memory. */
    boolean recordsViews() {
        return recordsViews;
    }

    void stopRecordingViews() {
        recordsViews = false;
    }

    long messages() {
        return messages;
    }

    long bytes() {
        return bytes;
    }

    private void receive(String to, PeerFrame frame) {
        VirtualRouter router = routers.get(to);
        if (router == null) {
            return;
        }
        try {
            router.receive(frame);
        } catch (InvalidProtocolBufferException e) {
            throw new AssertionError(e);
        }
    }
}
