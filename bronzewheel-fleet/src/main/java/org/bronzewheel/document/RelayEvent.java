package org.bronzewheel.document;

/** What a relay asks of its own router or tells it. */
public sealed interface RelayEvent {
    /**
     * The platform shall be read; {@link RelayMachine#readCompleted} or {@link
     * RelayMachine#readFailed} takes the result.
     *
     * @param afterRevision the revision already known, 0 for none
     * @param waitMillis the longest wait, in milliseconds
     */
    record Read(long afterRevision, long waitMillis) implements RelayEvent {}

    /**
     * A document shall be checked; {@link RelayMachine#checked} takes the result.
     *
     * @param document the document
     */
    record Check(RevisionedDocument document) implements RelayEvent {}

    /**
     * A version came into force.
     *
     * @param version the version, with a revision above that of any before
     */
    record Accepted(DocumentVersion version) implements RelayEvent {}

    /**
     * A version was refused.
     *
     * @param version the version
     * @param reason why, a line for each violation
     */
    record Refused(DocumentVersion version, String reason) implements RelayEvent {}
}
