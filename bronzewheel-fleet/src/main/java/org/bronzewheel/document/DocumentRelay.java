package org.bronzewheel.document;

import com.google.common.flogger.FluentLogger;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.bronzewheel.machine.Outgoing;
import org.bronzewheel.machine.StateMachineRunner;
import org.bronzewheel.service.Service;
import org.bronzewheel.transport.Peer;

/**
 * A running relay of one published document: hosts a {@link RelayMachine}, reads the platform and
 * checks documents for it.
 *
 * @param <T> the type of the parsed document
 */
public final class DocumentRelay<T> implements Service {
    /** A reader of the platform. */
    @FunctionalInterface
    public interface Reader {
        /**
         * Reads the document, waiting for one that is newer.
         *
         * @param afterRevision the revision already known, 0 for none
         * @param waitMillis the longest wait, in milliseconds
         * @return a document with a higher revision, empty where there is none, or an error
         */
        Maybe<RevisionedDocument> read(long afterRevision, long waitMillis);
    }

    /**
     * Receives accepted and refused versions.
     *
     * @param <T> the type of the parsed document
     */
    public interface Listener<T> {
        /**
         * Handles a document that was accepted; must not block.
         *
         * @param version its version, with a revision above that of any before
         * @param value the parsed value
         */
        void accepted(DocumentVersion version, T value);

        /**
         * Handles a refused version; must not block.
         *
         * @param version the refused version
         * @param reason the reason, one line for each violation
         */
        void refused(DocumentVersion version, String reason);
    }

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    // Time allowed for a read in addition to its wait.
    private static final long READ_TIMEOUT_MILLIS = 5_000;

    private final RelayMachine machine;
    private final StateMachineRunner<RelayMessage, RelayEvent> host;
    private final Reader reader;
    private final Function<RevisionedDocument, CheckedDocument<T>> checker;
    private final Listener<T> listener;
    private final Scheduler scheduler;
    private final Map<DocumentVersion, T> checkedValues = new ConcurrentHashMap<>();
    private final CompositeDisposable work = new CompositeDisposable();

    /**
     * Creates a relay that is not yet started.
     *
     * @param sender sends messages to peers; must not block
     * @param reader reads the platform
     * @param checker checks and parses a document; runs on the scheduler
     * @param listener receives accepted and refused versions
     * @param settings the times and limits
     * @param scheduler runs ticks and checks
     * @param nanoClock the monotonic time, in nanoseconds
     * @param random the source of jitter
     */
    public DocumentRelay(
            Consumer<Outgoing<RelayMessage>> sender,
            Reader reader,
            Function<RevisionedDocument, CheckedDocument<T>> checker,
            Listener<T> listener,
            RelaySettings settings,
            Scheduler scheduler,
            LongSupplier nanoClock,
            RandomGenerator random) {
        this.reader = reader;
        this.checker = checker;
        this.listener = listener;
        this.scheduler = scheduler;
        // The given source may be used concurrently by another state machine.
        machine = new RelayMachine(settings, new SplittableRandom(random.nextLong()));
        host =
                new StateMachineRunner<>(
                        machine, sender, this::handle, scheduler, nanoClock, settings.tickMillis());
    }

    @Override
    public void start() {
        host.start();
    }

    @Override
    public void stop() {
        host.stop();
        work.dispose();
    }

    /**
     * Handles a message from a peer.
     *
     * @param from the sender
     * @param message the message
     */
    public void receive(Peer from, RelayMessage message) {
        host.receive(from, message);
    }

    /**
     * Sets the neighbours and whether this relay is a reader.
     *
     * @param peers the neighbours and whether this relay is a reader
     */
    public void setPeers(RelayPeers peers) {
        host.apply(nowNanos -> machine.setPeers(peers, nowNanos));
    }

    private void handle(RelayEvent event) {
        if (event instanceof RelayEvent.Read read) {
            read(read);
        } else if (event instanceof RelayEvent.Check check) {
            check(check.document());
        } else if (event instanceof RelayEvent.Accepted accepted) {
            accept(accepted.version());
        } else if (event instanceof RelayEvent.Refused refused) {
            logger.atWarning().log("refused document %s: %s", refused.version(), refused.reason());
            listener.refused(refused.version(), refused.reason());
        }
    }

    private void read(RelayEvent.Read read) {
        long timeoutMillis = read.waitMillis() + READ_TIMEOUT_MILLIS;
        Maybe.defer(() -> reader.read(read.afterRevision(), read.waitMillis()))
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS, scheduler)
                .subscribe(
                        document -> completeRead(Optional.of(document)),
                        this::failRead,
                        () -> completeRead(Optional.empty()),
                        work);
    }

    private void completeRead(Optional<RevisionedDocument> document) {
        host.apply(nowNanos -> machine.readCompleted(document, nowNanos));
    }

    private void failRead(Throwable error) {
        logger.atFine().withCause(error).log("reading the document from the platform failed");
        host.apply(machine::readFailed);
    }

    private void check(RevisionedDocument document) {
        Single.fromCallable(() -> checker.apply(document))
                .subscribeOn(scheduler)
                .subscribe(
                        checked -> completeCheck(document, checked),
                        error -> failCheck(document, error),
                        work);
    }

    private void completeCheck(RevisionedDocument document, CheckedDocument<T> checked) {
        checked.value().ifPresent(value -> checkedValues.put(document.version(), value));
        host.apply(nowNanos -> machine.checked(document, checked.result(), nowNanos));
    }

    private void failCheck(RevisionedDocument document, Throwable error) {
        logger.atSevere().withCause(error).log(
                "checking the document %s failed", document.version());
        CheckResult result = new CheckResult.Invalid("the document could not be checked: " + error);
        host.apply(nowNanos -> machine.checked(document, result, nowNanos));
    }

    private void accept(DocumentVersion version) {
        T value = checkedValues.get(version);
        checkedValues.keySet().removeIf(known -> known.revision() <= version.revision());
        logger.atInfo().log("accepted document %s", version);
        listener.accepted(version, value);
    }
}
