package org.bronzewheel.quarantine;

import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.List;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.peering.SeedMembership;
import org.bronzewheel.service.Service;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.transport.PeerTransport;

/**
 * Exchanges the evidence of a quarantine between routers: news at once, and all that stands
 * periodically, for routers that have just started or were cut off.
 */
public final class EvidenceExchange implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long PERIOD_MILLIS = 350;
    private static final int PERIODS_PER_SUMMARY = 4;

    /** The number of periods in which a router that has started asks its peers. */
    private static final int QUESTION_PERIODS = 4;

    /** Collects the reports of one crash, whose connections break one after the other. */
    private static final long NEWS_DELAY_MILLIS = 10;

    private final PeerTransport transport;
    private final SeedMembership membership;
    private final PromptQuarantine quarantine;
    private final Loop loop;
    private boolean newsScheduled;
    private long periods;
    private Disposable ticker = Disposable.disposed();

    /**
     * Creates an exchange that is not started.
     *
     * @param transport carries the messages
     * @param membership knows the peers
     * @param quarantine keeps the evidence
     * @param loop the event loop that this object is confined to
     */
    public EvidenceExchange(
            PeerTransport transport,
            SeedMembership membership,
            PromptQuarantine quarantine,
            Loop loop) {
        this.transport = transport;
        this.membership = membership;
        this.quarantine = quarantine;
        this.loop = loop;
        quarantine.onNews(this::scheduleNews);
        transport.listen(
                Channel.EVIDENCE, (from, bytes) -> loop.execute(() -> receive(from, bytes)));
    }

    @Override
    public void start() {
        ticker = loop.every(PERIOD_MILLIS, this::tick);
        loop.execute(this::tick);
    }

    @Override
    public void stop() {
        ticker.dispose();
    }

    private void scheduleNews() {
        if (!newsScheduled) {
            newsScheduled = true;
            Disposable unused = loop.after(NEWS_DELAY_MILLIS, this::sendNews);
        }
    }

    private void sendNews() {
        newsScheduled = false;
        sendIfAny(quarantine.news(loop.nowMillis()));
    }

    private void tick() {
        long nowMillis = loop.nowMillis();
        quarantine.expire(nowMillis);
        periods++;
        if (periods <= QUESTION_PERIODS) {
            send(List.of());
        }
        sendIfAny(
                periods % PERIODS_PER_SUMMARY == 0
                        ? quarantine.standing()
                        : quarantine.news(nowMillis));
    }

    private void sendIfAny(List<PartEvidence> evidence) {
        if (!evidence.isEmpty()) {
            send(evidence);
        }
    }

    /** Sends evidence to the peers; an empty message asks them for theirs. */
    private void send(List<PartEvidence> evidence) {
        long nowMillis = loop.nowMillis();
        byte[] message = EvidenceCodec.encode(evidence, nowMillis);
        for (String target : membership.targets(nowMillis)) {
            transport.send(target, Channel.EVIDENCE, message);
        }
    }

    private void answer(Peer peer) {
        List<PartEvidence> standing = quarantine.standing();
        if (!standing.isEmpty()) {
            byte[] message = EvidenceCodec.encode(standing, loop.nowMillis());
            transport.send(peer.vmId(), Channel.EVIDENCE, message);
        }
    }

    private void receive(Peer from, byte[] bytes) {
        try {
            long nowMillis = loop.nowMillis();
            List<PartEvidence> evidence = EvidenceCodec.decode(bytes, nowMillis);
            quarantine.merge(evidence, nowMillis);
            if (evidence.isEmpty()) {
                answer(from);
            }
        } catch (InvalidProtocolBufferException e) {
            logger.atWarning().withCause(e).log("malformed evidence from peer %s", from.vmId());
        }
    }
}
