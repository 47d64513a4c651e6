package org.bronzewheel.document;

import com.google.protobuf.ByteString;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Versions that a relay has refused, with the content of the newest one so that peers can fetch it.
 */
final class Refusals {
    private static final int MAX_VERSIONS = 256;

    private final Map<DocumentVersion, Boolean> versions =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<DocumentVersion, Boolean> eldest) {
                    return size() > MAX_VERSIONS;
                }
            };
    private RevisionedDocument newest;

    /** Adds a version; returns false if it was already present. */
    boolean add(DocumentVersion version) {
        return versions.put(version, true) == null;
    }

    void keep(RevisionedDocument document) {
        if (newest == null || document.version().revision() > newest.version().revision()) {
            newest = document;
        }
    }

    boolean contains(DocumentVersion version) {
        return versions.containsKey(version);
    }

    /** Tells whether the same revision was refused with a different digest. */
    boolean containsOther(DocumentVersion version) {
        return versions.keySet().stream()
                .anyMatch(
                        known ->
                                known.revision() == version.revision()
                                        && !known.digest().equals(version.digest()));
    }

    Optional<DocumentVersion> newestVersion() {
        return Optional.ofNullable(newest).map(RevisionedDocument::version);
    }

    Optional<ByteString> content(DocumentVersion version) {
        return Optional.ofNullable(newest)
                .filter(document -> document.version().equals(version))
                .map(RevisionedDocument::content);
    }
}
