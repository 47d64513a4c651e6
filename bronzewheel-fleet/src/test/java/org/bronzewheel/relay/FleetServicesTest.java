package org.bronzewheel.relay;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.schedulers.Schedulers;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.configuration.ConfigurationDocument;
import org.bronzewheel.document.RelaySettings;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.membership.MemberHealth;
import org.bronzewheel.membership.MembershipSettings;
import org.bronzewheel.membership.MembershipView;
import org.bronzewheel.membership.PeerMembershipService;
import org.bronzewheel.transport.NettyPeerTransport;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.transport.TransportSettings;
import org.bronzewheel.vm.Vm;
import org.bronzewheel.vm.VmList;
import org.bronzewheel.vm.VmRole;
import org.bronzewheel.vm.VmState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Membership and configuration over real connections on loopback. */
class FleetServicesTest {
    private static final int ROUTERS = 3;
    private static final long TIMEOUT_SECONDS = 30;

    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final List<NettyPeerTransport> transports = new ArrayList<>();
    private final List<PeerMembershipService> memberships = new ArrayList<>();
    private final List<RelayedConfigurationService> configurations = new ArrayList<>();
    private final AtomicReference<ConfigurationDocument> published = new AtomicReference<>();

    @BeforeEach
    void startAll() {
        IntStream.range(0, ROUTERS).forEach(this::start);
    }

    @AfterEach
    void stopAll() {
        configurations.forEach(RelayedConfigurationService::stop);
        memberships.forEach(PeerMembershipService::stop);
        transports.forEach(NettyPeerTransport::stop);
    }

    @Test
    void allRoutersAcceptWhatOneReaderGetsAndKeepItWhenTheNextIsRefused() {
        published.set(ConfigurationTexts.document(1, 3, 2));
        configurations.forEach(service -> await(service, 1));

        published.set(ConfigurationTexts.invalid(2));
        awaitRefusal(configurations.get(ROUTERS - 1));
        configurations.forEach(s -> assertThat(s.current().orElseThrow().revision()).isEqualTo(1));

        published.set(ConfigurationTexts.document(3, 4, 2));
        configurations.forEach(service -> await(service, 3));
        configurations.forEach(s -> assertThat(s.refusals()).hasSize(1));
    }

    @Test
    void aStoppedRouterIsSuspectedByTheOthers() {
        awaitHealth(memberships.get(0), "vm-2", MemberHealth.ALIVE);

        memberships.get(2).stop();
        transports.get(2).stop();

        awaitHealth(memberships.get(0), "vm-2", MemberHealth.SUSPECT);
        awaitHealth(memberships.get(1), "vm-2", MemberHealth.SUSPECT);
    }

    @Test
    void anAnnouncedLeaveIsKnownToTheOthers() {
        awaitHealth(memberships.get(0), "vm-2", MemberHealth.ALIVE);

        memberships.get(2).announceLeaving();

        awaitHealth(memberships.get(0), "vm-2", MemberHealth.LEAVING);
        awaitHealth(memberships.get(1), "vm-2", MemberHealth.LEAVING);
    }

    private void start(int index) {
        String vmId = vmId(index);
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        NettyPeerTransport transport =
                new NettyPeerTransport(
                        new Peer(vmId, 1),
                        any,
                        id -> Optional.ofNullable(addresses.get(id)),
                        TransportSettings.DEFAULT);
        SplittableRandom random = new SplittableRandom(index);
        PeerMembershipService membership =
                new PeerMembershipService(
                        transport,
                        (after, wait) -> list(after),
                        MembershipSettings.DEFAULT,
                        Schedulers.computation(),
                        System::nanoTime,
                        random);
        RelayedConfigurationService configuration =
                new RelayedConfigurationService(
                        transport,
                        membership,
                        (after, wait) -> index == 0 ? document(after) : unavailable(),
                        RelaySettings.DEFAULT,
                        Schedulers.computation(),
                        System::nanoTime,
                        random);
        transport.start();
        addresses.put(
                vmId,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), transport.localPort()));
        membership.start();
        configuration.start();
        transports.add(transport);
        memberships.add(membership);
        configurations.add(configuration);
    }

    private Maybe<ConfigurationDocument> document(long after) {
        ConfigurationDocument document = published.get();
        return document == null || document.revision() <= after
                ? Maybe.<ConfigurationDocument>empty().delay(50, TimeUnit.MILLISECONDS)
                : Maybe.just(document);
    }

    private static <T> Maybe<T> unavailable() {
        return Maybe.error(new BronzewheelException(ErrorCode.PLATFORM_UNAVAILABLE, "down"));
    }

    private static Maybe<VmList> list(long after) {
        List<Vm> vms =
                IntStream.range(0, ROUTERS)
                        .mapToObj(
                                i -> new Vm(vmId(i), VmRole.ROUTER, VmState.LIVE, "d" + i, "", ""))
                        .toList();
        return after == 0 ? Maybe.just(new VmList(1, vms)) : Maybe.never();
    }

    private static String vmId(int index) {
        return "vm-" + index;
    }

    private static void await(RelayedConfigurationService service, long revision) {
        long reached =
                service.changes()
                        .map(Configuration::revision)
                        .filter(current -> current == revision)
                        .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .blockingFirst();
        assertThat(reached).isEqualTo(revision);
    }

    private static void awaitRefusal(RelayedConfigurationService service) {
        List<ConfigurationRefusal> refusals =
                Flowable.interval(20, TimeUnit.MILLISECONDS)
                        .map(tick -> service.refusals())
                        .filter(list -> !list.isEmpty())
                        .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .blockingFirst();
        assertThat(refusals.get(0).revision()).isEqualTo(2);
    }

    private static void awaitHealth(
            PeerMembershipService service, String vmId, MemberHealth health) {
        MembershipView view =
                service.changes()
                        .filter(
                                v ->
                                        v.find(vmId)
                                                .filter(member -> member.health() == health)
                                                .filter(member -> member.incarnation() == 1)
                                                .isPresent())
                        .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                        .blockingFirst();
        assertThat(view.list().revision()).isEqualTo(1);
    }
}
