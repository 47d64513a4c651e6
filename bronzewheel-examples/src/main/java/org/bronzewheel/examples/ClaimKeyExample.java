package org.bronzewheel.examples;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.bronzewheel.claim.ClaimDecision;
import org.bronzewheel.claim.ClaimRequest;
import org.bronzewheel.claim.ClaimSettings;
import org.bronzewheel.claim.PeerClaimService;
import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.service.Service;
import org.bronzewheel.transport.NettyPeerTransport;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.transport.TransportSettings;

/** Example of three peers that agree on which of two requests with the same key may run. */
public final class ClaimKeyExample {
    private static final List<String> VM_IDS = List.of("vm-1", "vm-2", "vm-3");
    private static final ClaimSettings SETTINGS = ClaimSettings.DEFAULT.withOpaqueKeyAgeMillis(0);
    private static final long DEADLINE_MILLIS = 1_000;

    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final List<Service> services = new ArrayList<>();

    private ClaimKeyExample() {}

    /**
     * Runs the example.
     *
     * @param args not used
     */
    public static void main(String[] args) {
        run(System.out);
    }

    /**
     * Claims the same key at two of three peers.
     *
     * @param out the stream to which the decisions are printed
     * @return the decisions, in the order of the peers
     */
    public static List<ClaimDecision> run(PrintStream out) {
        ClaimKeyExample example = new ClaimKeyExample();
        try {
            return example.claimAtTwoPeers(out);
        } finally {
            example.stop();
        }
    }

    private List<ClaimDecision> claimAtTwoPeers(PrintStream out) {
        List<PeerClaimService> claims = VM_IDS.stream().map(this::start).toList();
        IdempotencyKey key = new IdempotencyKey("gift-shop", "order-17");
        Single<ClaimDecision> first = claimWhenReady(claims.get(0), key, VM_IDS.get(0));
        Single<ClaimDecision> second = claimWhenReady(claims.get(1), key, VM_IDS.get(1));
        List<ClaimDecision> decisions =
                Single.zip(first, second, (one, other) -> List.of(one, other)).blockingGet();
        decisions.forEach(out::println);
        return decisions;
    }

    private PeerClaimService start(String vmId) {
        NettyPeerTransport transport =
                new NettyPeerTransport(
                        new Peer(vmId, 1),
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        peer -> Optional.ofNullable(addresses.get(peer)),
                        TransportSettings.DEFAULT);
        PeerClaimService claims =
                new PeerClaimService(
                        transport,
                        FixedMembership.of(VM_IDS),
                        SETTINGS,
                        Schedulers.computation(),
                        System::nanoTime,
                        System::currentTimeMillis);
        transport.start();
        addresses.put(
                vmId,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), transport.localPort()));
        claims.start();
        services.add(claims);
        services.add(transport);
        return claims;
    }

    /** Retries a refused claim, because peers do not vote immediately after they have started. */
    private static Single<ClaimDecision> claimWhenReady(
            PeerClaimService claims, IdempotencyKey key, String vmId) {
        RequestId requestId = new RequestId(vmId, 1, 1);
        ClaimRequest request = new ClaimRequest(key, requestId, "fingerprint", DEADLINE_MILLIS);
        return Single.defer(() -> claims.claim(request))
                .repeat()
                .filter(decision -> !(decision instanceof ClaimDecision.Refused))
                .firstOrError();
    }

    private void stop() {
        services.forEach(Service::stop);
    }
}
