package org.bronzewheel.document;

import com.google.protobuf.ByteString;
import java.util.HexFormat;
import java.util.Optional;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.wire.RelayAnnouncement;
import org.bronzewheel.wire.RelayContent;
import org.bronzewheel.wire.RelayFrame;
import org.bronzewheel.wire.RelayVersion;

/** The wire form of relay messages. */
public final class RelayCodec {
    private RelayCodec() {}

    /**
     * Converts a message to its wire form.
     *
     * @param message the message
     * @return the frame
     */
    public static RelayFrame toWire(RelayMessage message) {
        RelayFrame.Builder frame = RelayFrame.newBuilder();
        if (message instanceof RelayMessage.Announcement announcement) {
            frame.setAnnouncement(toWire(announcement));
        } else if (message instanceof RelayMessage.Fetch fetch) {
            frame.setFetch(toWire(fetch.version()));
        } else if (message instanceof RelayMessage.Content content) {
            frame.setContent(
                    RelayContent.newBuilder()
                            .setVersion(toWire(content.document().version()))
                            .setContent(content.document().content()));
        } else if (message instanceof RelayMessage.Missing missing) {
            frame.setMissing(toWire(missing.version()));
        }
        return frame.build();
    }

    /**
     * Converts a frame to its message.
     *
     * @param frame the frame
     * @return the message
     * @throws BronzewheelException with code MALFORMED_REQUEST where the kind is unknown
     */
    public static RelayMessage fromWire(RelayFrame frame) {
        return switch (frame.getKindCase()) {
            case ANNOUNCEMENT -> fromWire(frame.getAnnouncement());
            case FETCH -> new RelayMessage.Fetch(fromWire(frame.getFetch()));
            case CONTENT ->
                    new RelayMessage.Content(
                            new RevisionedDocument(
                                    fromWire(frame.getContent().getVersion()),
                                    frame.getContent().getContent()));
            case MISSING -> new RelayMessage.Missing(fromWire(frame.getMissing()));
            case KIND_NOT_SET ->
                    throw new BronzewheelException(
                            ErrorCode.MALFORMED_REQUEST, "relay frame of unknown kind");
        };
    }

    private static RelayAnnouncement toWire(RelayMessage.Announcement announcement) {
        RelayAnnouncement.Builder wire =
                RelayAnnouncement.newBuilder()
                        .setAgeMillis(announcement.ageMillis())
                        .setWantsReply(announcement.wantsReply());
        announcement.accepted().ifPresent(version -> wire.setAccepted(toWire(version)));
        announcement.refused().ifPresent(version -> wire.setRefused(toWire(version)));
        return wire.build();
    }

    private static RelayMessage.Announcement fromWire(RelayAnnouncement wire) {
        return new RelayMessage.Announcement(
                wire.hasAccepted() ? Optional.of(fromWire(wire.getAccepted())) : Optional.empty(),
                wire.hasRefused() ? Optional.of(fromWire(wire.getRefused())) : Optional.empty(),
                wire.getAgeMillis(),
                wire.getWantsReply());
    }

    private static RelayVersion toWire(DocumentVersion version) {
        return RelayVersion.newBuilder()
                .setRevision(version.revision())
                .setDigest(ByteString.copyFrom(HexFormat.of().parseHex(version.digest())))
                .build();
    }

    private static DocumentVersion fromWire(RelayVersion wire) {
        String digest = HexFormat.of().formatHex(wire.getDigest().toByteArray());
        return new DocumentVersion(wire.getRevision(), digest);
    }
}
