package org.bronzewheel.document;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.bronzewheel.machine.Outgoing;
import org.bronzewheel.machine.StateMachine;
import org.bronzewheel.machine.Step;
import org.bronzewheel.transport.Peer;

/**
 * Relays one published document, as a state machine.
 *
 * <p>Readers poll the platform; a relay that accepts or refuses a version announces it to its
 * neighbours, which fetch the content from it and check it themselves. The accepted revision never
 * decreases: a lower one is ignored, and different content under the same revision is refused
 * regardless of its source. A refused version leaves the accepted one in force and is not fetched
 * again.
 */
public final class RelayMachine implements StateMachine<RelayMessage, RelayEvent> {
    private final RelaySettings settings;
    private final RandomGenerator random;
    private final Set<RelayRule> rules;
    private final ReadSchedule schedule;
    private final AnnouncedVersions announced = new AnnouncedVersions();
    private final Refusals refusals = new Refusals();
    private final Set<DocumentVersion> checking = new HashSet<>();
    private RelayPeers peers = RelayPeers.ALONE;
    private RevisionedDocument accepted;
    private DocumentVersion fetching;
    private String fetchingFrom;
    private long fetchDeadlineNanos;
    private boolean everRead;
    private long lastReadNanos;
    private long nextAnnouncementNanos;
    private int nextNeighbour;
    private List<Outgoing<RelayMessage>> messages = new ArrayList<>();
    private List<RelayEvent> events = new ArrayList<>();

    /**
     * Creates a relay that holds nothing.
     *
     * @param settings the times and limits
     * @param random the source of jitter
     */
    public RelayMachine(RelaySettings settings, RandomGenerator random) {
        this(settings, random, EnumSet.allOf(RelayRule.class));
    }

    RelayMachine(RelaySettings settings, RandomGenerator random, Set<RelayRule> rules) {
        this.rules = rules;
        this.settings = settings;
        this.random = random;
        schedule = new ReadSchedule(settings, random);
    }

    /**
     * Returns the accepted version.
     *
     * @return the version in force, or empty before the first
     */
    public Optional<DocumentVersion> accepted() {
        return Optional.ofNullable(accepted).map(RevisionedDocument::version);
    }

    /**
     * Sets the neighbours and whether this relay is a reader.
     *
     * @param newPeers the neighbours and whether this relay is a reader
     * @param nowNanos the monotonic time, in nanoseconds
     * @return the messages to send and the events to handle
     */
    public Step<RelayMessage, RelayEvent> setPeers(RelayPeers newPeers, long nowNanos) {
        peers = newPeers;
        return tick(nowNanos);
    }

    @Override
    public Step<RelayMessage, RelayEvent> receive(Peer from, RelayMessage message, long nowNanos) {
        if (message instanceof RelayMessage.Announcement announcement) {
            receiveAnnouncement(from.vmId(), announcement, nowNanos);
        } else if (message instanceof RelayMessage.Fetch fetch) {
            replyToFetch(from.vmId(), fetch.version());
        } else if (message instanceof RelayMessage.Content content) {
            receiveContent(from.vmId(), content.document());
        } else if (message instanceof RelayMessage.Missing missing) {
            fetchFailed(from.vmId(), missing.version());
        }
        fetchNext(nowNanos);
        return flush();
    }

    @Override
    public Step<RelayMessage, RelayEvent> tick(long nowNanos) {
        if (fetching != null && nowNanos - fetchDeadlineNanos >= 0) {
            fetchFailed(fetchingFrom, fetching);
        }
        fetchNext(nowNanos);
        if (schedule.beginIfDue(peers, isFresh(nowNanos), nowNanos)) {
            long waitMillis = peers.reader() ? settings.watchMillis() : 0;
            events.add(new RelayEvent.Read(newestRevisionSeen(), waitMillis));
        }
        announceToNextNeighbour(nowNanos);
        return flush();
    }

    /**
     * Handles a successful read.
     *
     * @param document the document, empty where there is none that is newer
     * @param nowNanos the monotonic time, in nanoseconds
     * @return the messages to send and the events to handle
     */
    public Step<RelayMessage, RelayEvent> readCompleted(
            Optional<RevisionedDocument> document, long nowNanos) {
        recordRead(nowNanos);
        document.ifPresent(this::check);
        schedule.completed(peers, isFresh(nowNanos), nowNanos);
        return flush();
    }

    /**
     * Handles a failed read.
     *
     * @param nowNanos the monotonic time, in nanoseconds
     * @return the messages to send and the events to handle
     */
    public Step<RelayMessage, RelayEvent> readFailed(long nowNanos) {
        schedule.failed(peers, isFresh(nowNanos), nowNanos);
        return flush();
    }

    /**
     * Handles the result of checking a document.
     *
     * @param document the document
     * @param result whether it is valid
     * @param nowNanos the monotonic time, in nanoseconds
     * @return the messages to send and the events to handle
     */
    public Step<RelayMessage, RelayEvent> checked(
            RevisionedDocument document, CheckResult result, long nowNanos) {
        checking.remove(document.version());
        if (!rules.contains(RelayRule.JUDGE_AGAIN_AFTER_CHECK)
                || isAcceptable(document.version())) {
            if (result instanceof CheckResult.Valid) {
                accept(document, nowNanos);
            } else if (result instanceof CheckResult.Invalid invalid) {
                refusals.keep(document);
                refuse(document.version(), invalid.reason());
                announceToAll(nowNanos);
            }
        }
        fetchNext(nowNanos);
        return flush();
    }

    private void receiveAnnouncement(
            String from, RelayMessage.Announcement announcement, long nowNanos) {
        if (announcement.ageMillis() != RelayMessage.UNKNOWN_AGE) {
            recordRead(nowNanos - TimeUnit.MILLISECONDS.toNanos(announcement.ageMillis()));
        }
        announcement.refused().ifPresent(version -> considerVersion(version, from));
        announcement.accepted().ifPresent(version -> considerVersion(version, from));
        if (announcement.wantsReply() || isBehind(announcement)) {
            send(from, announcement(false, nowNanos));
        }
    }

    /** Tells whether the sender's accepted revision is lower than that of this relay. */
    private boolean isBehind(RelayMessage.Announcement announcement) {
        long theirs = announcement.accepted().map(DocumentVersion::revision).orElse(0L);
        return accepted != null && theirs < accepted.version().revision();
    }

    private void considerVersion(DocumentVersion version, String from) {
        if (isAcceptable(version)) {
            announced.add(version, from);
        }
    }

    /**
     * Tells whether a version may be accepted; refuses it if its digest conflicts with a known one
     * of the same revision.
     */
    private boolean isAcceptable(DocumentVersion version) {
        if (refusals.contains(version) && rules.contains(RelayRule.REFUSED_STAYS_REFUSED)) {
            return false;
        }
        if (accepted != null && !maySupersede(accepted.version(), version)) {
            return false;
        }
        if (refusals.containsOther(version) && rules.contains(RelayRule.ONE_CONTENT_PER_REVISION)) {
            refuse(version, "this revision was already refused with another digest");
            return false;
        }
        return true;
    }

    private boolean maySupersede(DocumentVersion current, DocumentVersion next) {
        if (next.equals(current)) {
            return false;
        }
        if (next.revision() < current.revision()) {
            return !rules.contains(RelayRule.REVISION_NEVER_FALLS);
        }
        if (next.revision() == current.revision()
                && rules.contains(RelayRule.ONE_CONTENT_PER_REVISION)) {
            refuse(next, "this revision was already accepted with digest " + current.digest());
            return false;
        }
        return true;
    }

    private void replyToFetch(String to, DocumentVersion version) {
        Optional<ByteString> content =
                accepted != null && accepted.version().equals(version)
                        ? Optional.of(accepted.content())
                        : refusals.content(version);
        if (content.isPresent()) {
            RevisionedDocument document = new RevisionedDocument(version, content.get());
            send(to, new RelayMessage.Content(document));
        } else {
            send(to, new RelayMessage.Missing(version));
        }
    }

    private void receiveContent(String from, RevisionedDocument document) {
        if (document.version().equals(fetching)) {
            // Avoids fetching this version from the same peer again if the content turns out to be
            // corrupt.
            announced.remove(fetching, from);
            fetching = null;
        }
        check(document);
    }

    private void check(RevisionedDocument document) {
        if (isAcceptable(document.version()) && checking.add(document.version())) {
            events.add(new RelayEvent.Check(document));
        }
    }

    private void accept(RevisionedDocument document, long nowNanos) {
        accepted = document;
        announced.removeUpTo(document.version().revision());
        events.add(new RelayEvent.Accepted(document.version()));
        announceToAll(nowNanos);
    }

    private void refuse(DocumentVersion version, String reason) {
        announced.remove(version);
        if (refusals.add(version)) {
            events.add(new RelayEvent.Refused(version, reason));
        }
    }

    private void fetchNext(long nowNanos) {
        if (fetching != null) {
            return;
        }
        Optional<DocumentVersion> next = announced.newest();
        if (next.isEmpty() || checking.contains(next.get())) {
            return;
        }
        fetching = next.get();
        fetchingFrom = announced.pickPeer(fetching, random);
        fetchDeadlineNanos =
                nowNanos + TimeUnit.MILLISECONDS.toNanos(settings.fetchTimeoutMillis());
        send(fetchingFrom, new RelayMessage.Fetch(fetching));
    }

    private void fetchFailed(String from, DocumentVersion version) {
        announced.remove(version, from);
        if (version.equals(fetching) && from.equals(fetchingFrom)) {
            fetching = null;
        }
    }

    private void announceToAll(long nowNanos) {
        peers.neighbours().forEach(vmId -> send(vmId, announcement(false, nowNanos)));
    }

    private void announceToNextNeighbour(long nowNanos) {
        if (peers.neighbours().isEmpty() || nowNanos - nextAnnouncementNanos < 0) {
            return;
        }
        nextAnnouncementNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(settings.announceMillis());
        nextNeighbour = (nextNeighbour + 1) % peers.neighbours().size();
        send(peers.neighbours().get(nextNeighbour), announcement(true, nowNanos));
    }

    private RelayMessage.Announcement announcement(boolean wantsReply, long nowNanos) {
        return new RelayMessage.Announcement(
                accepted(), refusals.newestVersion(), ageMillis(nowNanos), wantsReply);
    }

    private long ageMillis(long nowNanos) {
        return everRead
                ? TimeUnit.NANOSECONDS.toMillis(nowNanos - lastReadNanos)
                : RelayMessage.UNKNOWN_AGE;
    }

    private boolean isFresh(long nowNanos) {
        return accepted != null && everRead && ageMillis(nowNanos) < settings.staleAfterMillis();
    }

    private void recordRead(long readNanos) {
        if (!everRead || readNanos - lastReadNanos > 0) {
            lastReadNanos = readNanos;
        }
        everRead = true;
    }

    private long newestRevisionSeen() {
        long acceptedRevision = accepted().map(DocumentVersion::revision).orElse(0L);
        long refusedRevision = refusals.newestVersion().map(DocumentVersion::revision).orElse(0L);
        return Math.max(acceptedRevision, refusedRevision);
    }

    private void send(String toVmId, RelayMessage message) {
        messages.add(new Outgoing<>(toVmId, message));
    }

    private Step<RelayMessage, RelayEvent> flush() {
        if (messages.isEmpty() && events.isEmpty()) {
            return Step.none();
        }
        Step<RelayMessage, RelayEvent> step = new Step<>(messages, events);
        messages = new ArrayList<>();
        events = new ArrayList<>();
        return step;
    }
}
