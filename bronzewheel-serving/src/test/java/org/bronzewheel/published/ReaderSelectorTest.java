package org.bronzewheel.published;

import static com.google.common.truth.Truth.assertThat;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.bronzewheel.loop.Loop;
import org.bronzewheel.peering.Heartbeat;
import org.bronzewheel.peering.HeartbeatMessage;
import org.bronzewheel.peering.SeedMembership;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReaderSelectorTest {
    private final Loop loop = new Loop(new TestScheduler(), () -> 0);

    /** Returns the selected reader of each router in a fully connected fleet. */
    private List<Optional<String>> readers(int routers) {
        List<Heartbeat> all = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            all.add(new Heartbeat("vm-" + i, 1, 1, false));
        }
        List<Optional<String>> readers = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            SeedMembership membership =
                    new SeedMembership(
                            "vm-" + i, 1, List.of(), 20, new SplittableRandom(i), loop.nowMillis());
            all.forEach(
                    beat ->
                            membership.receive(
                                    new HeartbeatMessage(beat, List.of()), loop.nowMillis()));
            readers.add(new ReaderSelector("vm-" + i, membership, loop).select());
        }
        return readers;
    }

    @ParameterizedTest
    @CsvSource({"18, 2", "23, 2", "81, 6", "390, 25"})
    void fewRoutersReadForAllOthers(int routers, int maxReaders) {
        List<Optional<String>> readers = readers(routers);
        Set<String> selected = new HashSet<>();
        readers.forEach(reader -> reader.ifPresent(selected::add));
        long reading = readers.stream().filter(Optional::isEmpty).count();
        assertThat(reading).isAtMost(maxReaders);
        for (String vmId : selected) {
            assertThat(readers.get(Integer.parseInt(vmId.substring(3))))
                    .isEqualTo(Optional.empty());
        }
    }

    @Test
    void everyRouterOfASmallFleetReadsThePlatform() {
        assertThat(readers(9).stream().noneMatch(Optional::isPresent)).isTrue();
    }
}
