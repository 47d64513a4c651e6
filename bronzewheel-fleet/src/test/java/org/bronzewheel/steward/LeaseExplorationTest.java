package org.bronzewheel.steward;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.configuration.Configuration;
import org.bronzewheel.machine.Step;
import org.bronzewheel.transport.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Explores all schedules up to a bounded length of two routers that both consider themselves the
 * preferred steward, with a third router as voter. A router without a step is in effect paused, and
 * a message that is not delivered is in effect lost or late.
 */
class LeaseExplorationTest {
    private static final int DEPTH = 7;
    private static final long LEASE_NANOS =
            TimeUnit.MILLISECONDS.toNanos(StewardSettings.DEFAULT.voterLeaseMillis());
    private static final Configuration CONFIGURATION =
            new StewardFixture(1, EnumSet.allOf(StewardRule.class), 0).configuration(1);

    private enum Action {
        TICK_A,
        TICK_B,
        A_TO_C,
        C_TO_A,
        B_TO_C,
        C_TO_B,
        SEND_A,
        SEND_B,
        RESTART_C,
        EXPIRE_LEASES
    }

    private record Link(String from, String to) {}

    /** One simulated run of the three routers. */
    private static final class Simulation {
        private final Set<StewardRule> rules;
        private final Map<Action, Deque<StewardMessage>> links = new EnumMap<>(Action.class);
        private final Deque<EngineOrder> ordersOfA = new ArrayDeque<>();
        private final Deque<EngineOrder> ordersOfB = new ArrayDeque<>();
        private final StewardMachine a;
        private final StewardMachine b;
        private StewardMachine c;
        private long nowNanos = 1;
        private boolean violated;

        Simulation(Set<StewardRule> rules) {
            this.rules = rules;
            for (Action action : Action.values()) {
                links.put(action, new ArrayDeque<>());
            }
            a = machine("a", Set.of("b", "c"));
            b = machine("b", Set.of("a", "c"));
            c = machine("c", Set.of("a", "b"));
            nowNanos += LEASE_NANOS;
        }

        private StewardMachine machine(String vmId, Set<String> suspects) {
            StewardMachine machine =
                    new StewardMachine(new Peer(vmId, 1), StewardSettings.DEFAULT, nowNanos, rules);
            machine.setView(StewardViews.of(List.of("a", "b", "c"), suspects), nowNanos);
            if (!vmId.equals("c")) {
                // The configuration of c does not matter, and c is never the preferred steward.
                machine.setConfiguration(CONFIGURATION, nowNanos);
                machine.releaseAll();
            }
            return machine;
        }

        /** Performs an action; returns false if it is not possible. */
        boolean perform(Action action) {
            switch (action) {
                case TICK_A -> apply("a", a.tick(nowNanos));
                case TICK_B -> apply("b", b.tick(nowNanos));
                case A_TO_C -> {
                    return deliver(action, new Link("a", "c"));
                }
                case B_TO_C -> {
                    return deliver(action, new Link("b", "c"));
                }
                case C_TO_A -> {
                    return deliver(action, new Link("c", "a"));
                }
                case C_TO_B -> {
                    return deliver(action, new Link("c", "b"));
                }
                case SEND_A -> {
                    return send(ordersOfA, a);
                }
                case SEND_B -> {
                    return send(ordersOfB, b);
                }
                case RESTART_C -> c = machine("c", Set.of("a", "b"));
                case EXPIRE_LEASES -> nowNanos += LEASE_NANOS;
            }
            violated |= holds(a) && holds(b);
            return true;
        }

        private boolean holds(StewardMachine machine) {
            return !machine.heldPools(nowNanos).isEmpty();
        }

        private boolean send(Deque<EngineOrder> orders, StewardMachine machine) {
            EngineOrder order = orders.poll();
            if (order == null) {
                return false;
            }
            violated |= machine.isSendAllowed(order, nowNanos) && !holds(machine);
            return true;
        }

        private boolean deliver(Action action, Link link) {
            StewardMessage message = links.get(action).poll();
            if (message == null) {
                return false;
            }
            StewardMachine receiver =
                    switch (link.to()) {
                        case "a" -> a;
                        case "b" -> b;
                        default -> c;
                    };
            apply(link.to(), receiver.receive(new Peer(link.from(), 1), message, nowNanos));
            violated |= holds(a) && holds(b);
            return true;
        }

        private void apply(String from, Step<StewardMessage, EngineOrder> step) {
            step.messages()
                    .forEach(
                            out -> {
                                String name =
                                        (from + "_TO_" + out.toVmId()).toUpperCase(Locale.ROOT);
                                if (!name.equals("A_TO_B") && !name.equals("B_TO_A")) {
                                    links.get(Action.valueOf(name)).add(out.message());
                                }
                            });
            (from.equals("a") ? ordersOfA : ordersOfB).addAll(step.events());
        }
    }

    /** The result of an exploration. */
    private record Result(long schedules, List<Action> shortestViolation) {}

    @Test
    void noScheduleOfBoundedLengthHasAViolation() {
        Result result = explore(EnumSet.allOf(StewardRule.class));

        System.out.println("explored " + result.schedules() + " lease schedules");
        assertThat(result.shortestViolation()).isEmpty();
        assertThat(result.schedules()).isGreaterThan(10_000);
    }

    @ParameterizedTest
    @EnumSource(
            value = StewardRule.class,
            names = {"SUCCESSOR_WAITS", "RESTARTED_VOTER_WAITS", "CHECK_BEFORE_SENDING"})
    void disablingARuleCausesAViolation(StewardRule rule) {
        Result result = explore(EnumSet.complementOf(EnumSet.of(rule)));

        System.out.println(rule + " disabled: violation after " + result.shortestViolation());
        assertThat(result.shortestViolation()).isNotEmpty();
    }

    private static Result explore(Set<StewardRule> rules) {
        List<List<Action>> level = List.of(List.of());
        long schedules = 0;
        for (int depth = 1; depth <= DEPTH; depth++) {
            List<List<Action>> next = new ArrayList<>();
            for (List<Action> prefix : level) {
                for (Action action : Action.values()) {
                    List<Action> schedule = new ArrayList<>(prefix);
                    schedule.add(action);
                    Simulation simulation = new Simulation(rules);
                    boolean possible = schedule.stream().allMatch(simulation::perform);
                    schedules++;
                    if (simulation.violated) {
                        return new Result(schedules, schedule);
                    }
                    if (possible && !isRepeated(schedule)) {
                        next.add(schedule);
                    }
                }
            }
            level = next;
        }
        return new Result(schedules, List.of());
    }

    /** Prunes schedules that repeat the last action at the same time, which adds no new state. */
    private static boolean isRepeated(List<Action> schedule) {
        int size = schedule.size();
        return size > 1
                && schedule.get(size - 1) == schedule.get(size - 2)
                && schedule.get(size - 1) != Action.SEND_A
                && schedule.get(size - 1) != Action.SEND_B;
    }
}
