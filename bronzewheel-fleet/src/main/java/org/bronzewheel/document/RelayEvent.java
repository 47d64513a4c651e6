package org.bronzewheel.document;

/** A request or notification from the relay's state machine to its host. */
public sealed interface RelayEvent {
    /**
     * Requests a read of the platform; {@link RelayMachine#readCompleted} or {@link
     * RelayMachine#readFailed} takes the result.
     *
     * @param afterRevision the revision already known, 0 for none
     * @param waitMillis the longest wait, in milliseconds
     */
    record Read(long afterRevision, long waitMillis) implements RelayEvent {}

    /**
     * Requests a check of a document; {@link RelayMachine#checked} takes the result.
     *
     * @param document the document
     */
    record Check(RevisionedDocument document) implements RelayEvent {}

    /**
     * A version was accepted.
     *
     * @param version the version, with a revision above that of any before
     */
    record Accepted(DocumentVersion version) implements RelayEvent {}

    /**
     * A version was refused.
     *
     * @param version the version
     * @param reason the reason, one line for each violation
     */
    record Refused(DocumentVersion version, String reason) implements RelayEvent {}
}
