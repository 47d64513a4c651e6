package org.bronzewheel.answer;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.core.Single;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.bronzewheel.check.FakeNetwork;
import org.bronzewheel.request.Outcome;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.transport.Channel;
import org.bronzewheel.transport.PeerTransport;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares the message count of three ways to find the router that holds a request: by the VM in
 * the request id, by asking the voters of a key, and by asking every router. Sizes are those of the
 * real messages.
 */
class HolderLookupTest {
    private static final int VOTERS = 5;
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final List<String> HOLDER = List.of("vm-7");
    private static final RequestId REQUEST = new RequestId("vm-7", 1_796_331_300_437L, 4_711);
    private static final StoredAnswer ANSWER =
            new StoredAnswer(REQUEST, Outcome.ANSWERED, 200, "application/json", "x".repeat(500));

    private final FakeNetwork network = new FakeNetwork();
    private final AtomicLong messages = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();

    @ParameterizedTest
    @ValueSource(ints = {9, 30, 100, 390})
    void lookupByIdSendsFewerMessagesThanAskingVotersOrAllRouters(int routers) {
        List<String> vmIds = startRouters(routers);
        PeerTransport client = network.addRouter("vm-0", 1);

        long byId = report("by id, 1 hop", routers, () -> ask(client, HOLDER, Channel.ANSWER));
        long byVoters =
                report(
                        "by voters, 2 hops",
                        routers,
                        () -> {
                            ask(client, vmIds.subList(0, VOTERS), Channel.CLAIM);
                            ask(client, HOLDER, Channel.ANSWER);
                        });
        long byAll = report("by all, 1 hop", routers, () -> ask(client, vmIds, Channel.ANSWER));

        assertThat(byId).isLessThan(byVoters);
        assertThat(byId).isLessThan(byAll);
    }

    private List<String> startRouters(int count) {
        List<String> vmIds = new ArrayList<>();
        byte[] holder = REQUEST.toString().getBytes(StandardCharsets.US_ASCII);
        for (int i = 1; i < count; i++) {
            String vmId = "vm-" + i;
            vmIds.add(vmId);
            PeerTransport transport = network.addRouter(vmId, REQUEST.incarnation());
            transport.serve(Channel.ANSWER, (from, payload) -> Single.just(reply(vmId)));
            transport.serve(Channel.CLAIM, (from, payload) -> Single.just(holder));
        }
        return vmIds;
    }

    private static byte[] reply(String vmId) {
        return HOLDER.contains(vmId) ? AnswerCodec.encode(ANSWER).toByteArray() : new byte[0];
    }

    /** Runs a lookup and returns the number of messages sent. */
    private long report(String method, int routers, Runnable lookup) {
        messages.set(0);
        bytes.set(0);
        lookup.run();
        System.out.printf(
                "CHECK lookup %s, %d routers: %d messages, %d bytes%n",
                method, routers, messages.get(), bytes.get());
        return messages.get();
    }

    private void ask(PeerTransport client, List<String> vmIds, Channel channel) {
        byte[] request = AnswerCodec.findCall(REQUEST);
        for (String vmId : vmIds) {
            byte[] reply = client.call(vmId, channel, request, TIMEOUT_MILLIS).blockingGet();
            messages.addAndGet(2);
            bytes.addAndGet(request.length + reply.length);
        }
    }
}
