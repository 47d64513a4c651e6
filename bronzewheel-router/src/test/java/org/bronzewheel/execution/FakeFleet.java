package org.bronzewheel.execution;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bronzewheel.answer.AnswerService;
import org.bronzewheel.answer.StoredAnswer;
import org.bronzewheel.claim.ClaimDecision;
import org.bronzewheel.claim.ClaimRequest;
import org.bronzewheel.claim.ClaimService;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.membership.MembershipService;
import org.bronzewheel.membership.MembershipView;
import org.bronzewheel.relay.ConfigurationRefusal;
import org.bronzewheel.relay.ConfigurationService;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.transport.CallHandler;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.MessageListener;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.transport.PeerTransport;

/** Fakes of what the routers do together, for one router. */
final class FakeFleet {
    final Transport transport = new Transport();
    final Configurations configurations = new Configurations();
    final Membership membership = new Membership();
    final Claims claims = new Claims();
    final Answers answers = new Answers();

    /** A transport to a peer that the test plays. */
    static final class Transport implements PeerTransport {
        CallHandler peer =
                (from, payload) ->
                        Single.error(
                                new BronzewheelException(
                                        ErrorCode.UPSTREAM_BROKEN, Outcome.UNKNOWN, "gone", null));
        CallHandler own;

        @Override
        public Peer self() {
            return new Peer("vm-1", 36);
        }

        @Override
        public boolean send(String toVmId, Channel channel, byte[] payload) {
            return false;
        }

        @Override
        public Single<byte[]> call(
                String toVmId, Channel channel, byte[] payload, long timeoutMillis) {
            return peer.handle(self(), payload);
        }

        @Override
        public void listen(Channel channel, MessageListener listener) {}

        @Override
        public void serve(Channel channel, CallHandler handler) {
            own = handler;
        }

        @Override
        public void start() {}

        @Override
        public void stop() {}
    }

    /** A configuration that the test sets. */
    static final class Configurations implements ConfigurationService {
        Configuration configuration;

        @Override
        public Optional<Configuration> current() {
            return Optional.ofNullable(configuration);
        }

        @Override
        public Flowable<Configuration> changes() {
            return Flowable.never();
        }

        @Override
        public List<ConfigurationRefusal> refusals() {
            return List.of();
        }

        @Override
        public void start() {}

        @Override
        public void stop() {}
    }

    /** A membership without members. */
    static final class Membership implements MembershipService {
        @Override
        public MembershipView current() {
            return MembershipView.EMPTY;
        }

        @Override
        public Flowable<MembershipView> changes() {
            return Flowable.never();
        }

        @Override
        public void announceLeaving() {}

        @Override
        public void start() {}

        @Override
        public void stop() {}
    }

    /** Claims whose decision the test sets; granted by default. */
    static final class Claims implements ClaimService {
        final List<ClaimRequest> requests = new ArrayList<>();
        ClaimDecision decision;
        boolean stillGranted = true;

        @Override
        public Single<ClaimDecision> claim(ClaimRequest request) {
            requests.add(request);
            return Single.just(
                    decision == null ? new ClaimDecision.Granted(request.requestId()) : decision);
        }

        @Override
        public boolean isWarm() {
            return true;
        }

        @Override
        public boolean isStillGranted(ClaimRequest request) {
            return stillGranted;
        }

        @Override
        public Single<Boolean> handOver(long timeoutMillis) {
            return Single.just(true);
        }

        @Override
        public void start() {}

        @Override
        public void stop() {}
    }

    /** Answers that are kept once the test lets them. */
    static final class Answers implements AnswerService {
        final Map<RequestId, StoredAnswer> kept = new HashMap<>();
        Completable copying = Completable.complete();

        @Override
        public Completable store(StoredAnswer answer, long timeoutMillis) {
            kept.put(answer.requestId(), answer);
            return copying;
        }

        @Override
        public Maybe<StoredAnswer> find(RequestId requestId, long timeoutMillis) {
            StoredAnswer answer = kept.get(requestId);
            return answer == null ? Maybe.empty() : Maybe.just(answer);
        }

        @Override
        public Completable handOver(long timeoutMillis) {
            return Completable.complete();
        }

        @Override
        public void start() {}

        @Override
        public void stop() {}
    }
}
