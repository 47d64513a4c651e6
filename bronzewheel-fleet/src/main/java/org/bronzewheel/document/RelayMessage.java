package org.bronzewheel.document;

import java.util.Optional;

/** A message between the relays of a document. */
public sealed interface RelayMessage {
    /** The age if no successful read is known. */
    long UNKNOWN_AGE = -1;

    /**
     * Announces the versions that the sender holds.
     *
     * @param accepted the accepted version
     * @param refused the newest refused version
     * @param ageMillis the time since the platform answered a read of any router that the sender
     *     has heard of, in milliseconds, {@link #UNKNOWN_AGE} where it knows of none
     * @param wantsReply whether the receiver shall announce in return
     */
    record Announcement(
            Optional<DocumentVersion> accepted,
            Optional<DocumentVersion> refused,
            long ageMillis,
            boolean wantsReply)
            implements RelayMessage {}

    /**
     * Asks for a document.
     *
     * @param version its version
     */
    record Fetch(DocumentVersion version) implements RelayMessage {}

    /**
     * The response to a fetch.
     *
     * @param document the document
     */
    record Content(RevisionedDocument document) implements RelayMessage {}

    /**
     * The response to a fetch of a version that the sender does not hold.
     *
     * @param version the version
     */
    record Missing(DocumentVersion version) implements RelayMessage {}
}
