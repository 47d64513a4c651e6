package org.bronzewheel.steward;

import com.google.protobuf.ByteString;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.IntStream;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.machine.Outgoing;
import org.bronzewheel.machine.Step;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.Peer;
import org.bronzewheel.wire.PeerFrame;
import org.junit.jupiter.api.Test;

/**
 * Measures the message traffic that the lease of one pool costs its steward. Run by name, not as
 * part of the test suite; prints a table to standard output.
 */
class StewardMeasurement {
    private static final int[] SIZES = {3, 9, 30, 100, 390};
    private static final long INCARNATION = 1_790_000_000_000L;

    public static void main(String[] arguments) {
        System.out.println("| routers | messages/s | bytes/s |");
        System.out.println("| --- | --- | --- |");
        for (int size : SIZES) {
            System.out.println(row(size));
        }
    }

    @Test
    void printsATable() {
        main(new String[0]);
    }

    private static String row(int size) {
        List<String> vmIds =
                IntStream.range(0, size).mapToObj(i -> String.format("router-%03d", i)).toList();
        Configuration configuration =
                new StewardFixture(1, EnumSet.allOf(StewardRule.class), 0).configuration(1_600);
        for (String vmId : vmIds) {
            Peer self = new Peer(vmId, INCARNATION);
            StewardMachine machine = new StewardMachine(self, StewardSettings.DEFAULT, 0);
            machine.setConfiguration(configuration, 1);
            Step<StewardMessage, EngineOrder> step =
                    machine.setView(StewardViews.of(vmIds, Set.of()), 1);
            if (!step.messages().isEmpty()) {
                return row(size, self, step.messages());
            }
        }
        throw new AssertionError("no router requested the lease");
    }

    private static String row(int size, Peer self, List<Outgoing<StewardMessage>> requests) {
        double renewals = 1_000.0 / StewardSettings.DEFAULT.renewMillis();
        long bytes = requests.stream().mapToLong(out -> frameBytes(self, out.message())).sum();
        return String.format(
                Locale.ROOT,
                "| %d | %.1f | %.0f |",
                size,
                requests.size() * renewals,
                bytes * renewals);
    }

    private static int frameBytes(Peer self, StewardMessage message) {
        return PeerFrame.newBuilder()
                .setFromVmId(self.vmId())
                .setFromIncarnation(self.incarnation())
                .setChannel(Channel.STEWARD.number())
                .setPayload(ByteString.copyFrom(StewardCodec.encode(message)))
                .build()
                .getSerializedSize();
    }
}
