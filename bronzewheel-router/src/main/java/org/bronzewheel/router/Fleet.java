package org.bronzewheel.router;

import io.reactivex.rxjava3.core.Scheduler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import org.bronzewheel.answer.AnswerService;
import org.bronzewheel.answer.AnswerSettings;
import org.bronzewheel.answer.PeerAnswerService;
import org.bronzewheel.claim.ClaimService;
import org.bronzewheel.claim.ClaimSettings;
import org.bronzewheel.claim.PeerClaimService;
import org.bronzewheel.document.RelaySettings;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.membership.MembershipService;
import org.bronzewheel.membership.MembershipSettings;
import org.bronzewheel.membership.PeerMembershipService;
import org.bronzewheel.relay.ConfigurationService;
import org.bronzewheel.relay.RelayedConfigurationService;
import org.bronzewheel.service.Service;
import org.bronzewheel.steward.PeerStewardService;
import org.bronzewheel.steward.StewardSettings;
import org.bronzewheel.transport.NettyPeerTransport;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.transport.PeerTransport;
import org.bronzewheel.transport.TransportSettings;
import org.bronzewheel.upstream.ControlClient;
import org.bronzewheel.upstream.PlatformClient;
import org.bronzewheel.vm.Vm;

/** The services by which this router acts together with its peers. */
final class Fleet implements Service {
    private static final long BYTES_PER_MEGABYTE = 1 << 20;

    private final NettyPeerTransport transport;
    private final MembershipService membership;
    private final ConfigurationService configurations;
    private final ClaimService claims;
    private final AnswerService answers;
    private final PeerStewardService stewards;

    Fleet(
            RouterSettings settings,
            Peer self,
            PlatformClient platform,
            ControlClient engines,
            Scheduler scheduler,
            LongSupplier nanoClock) {
        this.transport =
                new NettyPeerTransport(
                        self,
                        new InetSocketAddress(settings.host(), settings.peerPort()),
                        this::addressOf,
                        TransportSettings.DEFAULT);
        SplittableRandom random = new SplittableRandom(self.incarnation());
        this.membership =
                new PeerMembershipService(
                        transport,
                        platform::readVmList,
                        MembershipSettings.DEFAULT,
                        scheduler,
                        nanoClock,
                        random.split());
        this.configurations =
                new RelayedConfigurationService(
                        transport,
                        membership,
                        platform::readConfiguration,
                        RelaySettings.DEFAULT,
                        scheduler,
                        nanoClock,
                        random.split());
        this.claims =
                new PeerClaimService(
                        transport,
                        membership,
                        ClaimSettings.DEFAULT
                                .withOpaqueKeyAgeMillis(settings.opaqueKeyAgeMillis())
                                .withEvidenceMillis(settings.evidenceMillis())
                                .withMaxClockSkewMillis(settings.maxClockSkewMillis()),
                        scheduler,
                        nanoClock,
                        System::currentTimeMillis);
        AnswerSettings answerSettings =
                new AnswerSettings(
                        settings.answerMegabytes() * BYTES_PER_MEGABYTE,
                        AnswerSettings.DEFAULT.retentionMillis(),
                        AnswerSettings.DEFAULT.copies());
        this.stewards =
                new PeerStewardService(
                        transport,
                        membership,
                        configurations,
                        new EngineOrders(engines, configurations::current),
                        StewardSettings.DEFAULT,
                        scheduler,
                        nanoClock);
        this.answers =
                new PeerAnswerService(transport, membership, answerSettings, scheduler, nanoClock);
    }

    private Optional<InetSocketAddress> addressOf(String vmId) {
        return membership.current().list().find(vmId).map(Vm::peerAddress).map(Fleet::resolve);
    }

    private static InetSocketAddress resolve(String address) {
        int colon = address.lastIndexOf(':');
        try {
            return new InetSocketAddress(
                    InetAddress.getByName(address.substring(0, colon)),
                    Integer.parseInt(address.substring(colon + 1)));
        } catch (UnknownHostException e) {
            throw new BronzewheelException(
                    ErrorCode.INVALID_SETTING, "the VM list has no IP number in " + address);
        }
    }

    PeerTransport transport() {
        return transport;
    }

    MembershipService membership() {
        return membership;
    }

    ConfigurationService configurations() {
        return configurations;
    }

    ClaimService claims() {
        return claims;
    }

    AnswerService answers() {
        return answers;
    }

    @Override
    public void start() {
        transport.start();
        membership.start();
        configurations.start();
        claims.start();
        answers.start();
        stewards.start();
    }

    /** Ends at once; peers get no word. */
    void kill() {
        transport.stop();
        stop();
    }

    @Override
    public void stop() {
        stewards.stop();
        answers.stop();
        claims.stop();
        configurations.stop();
        membership.stop();
        transport.stop();
    }
}
