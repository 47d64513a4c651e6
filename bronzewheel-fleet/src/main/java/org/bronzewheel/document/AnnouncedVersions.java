package org.bronzewheel.document;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

/** Versions announced by peers and not yet accepted here, with the peers that hold each. */
final class AnnouncedVersions {
    private static final int MAX_PEERS_PER_VERSION = 16;
    private static final int MAX_VERSIONS = 16;

    private final TreeMap<DocumentVersion, TreeSet<String>> peersByVersion =
            new TreeMap<>(
                    Comparator.comparingLong(DocumentVersion::revision)
                            .thenComparing(DocumentVersion::digest));

    void add(DocumentVersion version, String vmId) {
        TreeSet<String> peers = peersByVersion.computeIfAbsent(version, v -> new TreeSet<>());
        if (peers.size() < MAX_PEERS_PER_VERSION) {
            peers.add(vmId);
        }
        if (peersByVersion.size() > MAX_VERSIONS) {
            peersByVersion.pollFirstEntry();
        }
    }

    void remove(DocumentVersion version) {
        peersByVersion.remove(version);
    }

    void remove(DocumentVersion version, String vmId) {
        TreeSet<String> peers = peersByVersion.get(version);
        if (peers == null) {
            return;
        }
        peers.remove(vmId);
        if (peers.isEmpty()) {
            peersByVersion.remove(version);
        }
    }

    void removeUpTo(long revision) {
        peersByVersion.keySet().removeIf(version -> version.revision() <= revision);
    }

    /** Returns the newest announced version. */
    Optional<DocumentVersion> newest() {
        return peersByVersion.isEmpty() ? Optional.empty() : Optional.of(peersByVersion.lastKey());
    }

    /** Returns a random peer among those that announced a version. */
    String pickPeer(DocumentVersion version, RandomGenerator random) {
        List<String> peers = new ArrayList<>(peersByVersion.get(version));
        return peers.get(random.nextInt(peers.size()));
    }
}
