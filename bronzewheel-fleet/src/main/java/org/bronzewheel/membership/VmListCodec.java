package org.bronzewheel.membership;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import org.bronzewheel.document.CheckedDocument;
import org.bronzewheel.document.DocumentVersion;
import org.bronzewheel.document.Gzip;
import org.bronzewheel.document.RevisionedDocument;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmList;
import org.bronzewheel.vm.VmRole;
import org.bronzewheel.vm.VmState;
import org.bronzewheel.wire.PublishedVm;
import org.bronzewheel.wire.PublishedVmList;

/** Converts the VM list to and from the form in which routers relay it. */
final class VmListCodec {
    private VmListCodec() {}

    static RevisionedDocument toDocument(VmList list) {
        PublishedVmList.Builder wire = PublishedVmList.newBuilder().setRevision(list.revision());
        list.vms().forEach(vm -> wire.addVms(toWire(vm)));
        byte[] bytes = wire.build().toByteArray();
        return new RevisionedDocument(
                new DocumentVersion(list.revision(), digest(bytes)), Gzip.compress(bytes));
    }

    /** Checks that a list matches its digest and contains at least one router. */
    static CheckedDocument<VmList> check(RevisionedDocument document, int maxBytes) {
        byte[] bytes;
        try {
            bytes = Gzip.expand(document.content(), maxBytes);
        } catch (IOException e) {
            return CheckedDocument.corrupt();
        }
        if (!digest(bytes).equals(document.version().digest())) {
            return CheckedDocument.corrupt();
        }
        return parse(document.version(), bytes);
    }

    private static CheckedDocument<VmList> parse(DocumentVersion version, byte[] bytes) {
        try {
            PublishedVmList wire = PublishedVmList.parseFrom(bytes);
            List<Vm> vms = wire.getVmsList().stream().map(VmListCodec::fromWire).toList();
            VmList list = new VmList(wire.getRevision(), vms);
            if (list.revision() != version.revision()) {
                return CheckedDocument.corrupt();
            }
            if (list.routers().isEmpty()) {
                return CheckedDocument.invalid("the VM list contains no router");
            }
            return CheckedDocument.valid(list);
        } catch (InvalidProtocolBufferException e) {
            return CheckedDocument.corrupt();
        }
    }

    private static PublishedVm toWire(Vm vm) {
        return PublishedVm.newBuilder()
                .setVmId(vm.vmId())
                .setRouter(vm.role() == VmRole.ROUTER)
                .setLeaving(vm.state() == VmState.LEAVING)
                .setFailureDomain(vm.failureDomain())
                .setPeerAddress(vm.peerAddress())
                .setHttpAddress(vm.httpAddress())
                .build();
    }

    private static Vm fromWire(PublishedVm wire) {
        return new Vm(
                wire.getVmId(),
                wire.getRouter() ? VmRole.ROUTER : VmRole.UPSTREAM,
                wire.getLeaving() ? VmState.LEAVING : VmState.LIVE,
                wire.getFailureDomain(),
                wire.getPeerAddress(),
                wire.getHttpAddress());
    }

    private static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            // Every Java platform is required to support SHA-256.
            throw new IllegalStateException(e);
        }
    }
}
