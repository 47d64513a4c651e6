package org.bronzewheel.claim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.request.RequestId;

/**
 * A long random schedule, reproducible by its seed: claims and sends; lost, duplicated, late and
 * reordered messages; partitions, pauses, restarts with loss of all votes, clock skew, list changes
 * and stale lists.
 *
 * <p>With even seeds removed routers keep running and none restarts at random. With odd seeds
 * routers stop when they are removed, others restart, some with a stale list, and the list grows or
 * shrinks by one router only.
 */
final class RandomClaimWalk {
    static final ClaimSettings SETTINGS =
            new ClaimSettings(3_000, 1_500, 200, 40, 4, 30, 8, 5, 10_000);

    private static final int MAX_IN_FLIGHT = 400;
    private static final int RECENT_KEYS = 6;

    private final Random random;
    private final boolean restarts;
    private final ClaimSimulation simulation;
    private final int minRouters;
    private final int maxRouters;
    private final List<VoterList> published = new ArrayList<>();
    private final List<IdempotencyKey> keys = new ArrayList<>();
    private final Set<String> cutOff = new HashSet<>();
    private int lastVm;
    private int steps;

    RandomClaimWalk(long seed, ClaimRules rules) {
        this.random = new Random(seed);
        this.restarts = seed % 2 != 0;
        this.simulation = new ClaimSimulation(SETTINGS, rules);
        int routers = 3 + random.nextInt(restarts ? 3 : 5);
        this.minRouters = restarts ? routers : 2;
        this.maxRouters = restarts ? routers + 1 : 9;
        List<Voter> voters = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            voters.add(startVoter());
        }
        publish(voters);
        voters.forEach(voter -> simulation.updateList(voter.vmId(), published.get(0)));
    }

    /** Runs until a property is violated or the maximum number of steps is reached. */
    Optional<String> run(int maxSteps) {
        while (steps < maxSteps && simulation.violation().isEmpty()) {
            steps++;
            step();
        }
        return simulation.violation();
    }

    int steps() {
        return steps;
    }

    ClaimSimulation simulation() {
        return simulation;
    }

    private void step() {
        simulation.advance(1 + random.nextInt(3));
        deliverSome();
        if (chance(0.4)) {
            claim();
        }
        List<RequestId> unsent = simulation.unsent();
        if (!unsent.isEmpty() && chance(0.3)) {
            simulation.run(pick(unsent));
        }
        changeList();
        injectFaults();
    }

    private void deliverSome() {
        for (InFlight message : List.copyOf(simulation.inFlight)) {
            boolean cut =
                    cutOff.contains(message.from().vmId()) != cutOff.contains(message.toVmId());
            if (cut || chance(0.03)) {
                simulation.inFlight.remove(message);
            } else if (chance(0.05)) {
                simulation.deliverCopy(message);
            } else if (chance(0.75)) {
                simulation.deliver(message);
            }
        }
        while (simulation.inFlight.size() > MAX_IN_FLIGHT) {
            simulation.inFlight.remove(random.nextInt(simulation.inFlight.size()));
        }
    }

    private void claim() {
        List<String> runningRouters = runningRouters();
        if (runningRouters.isEmpty()) {
            return;
        }
        if (keys.isEmpty() || chance(0.3)) {
            keys.add(newKey());
        }
        int recent = Math.min(keys.size(), RECENT_KEYS);
        IdempotencyKey key =
                chance(0.05) ? pick(keys) : keys.get(keys.size() - 1 - random.nextInt(recent));
        simulation.claim(pick(runningRouters), key);
    }

    private IdempotencyKey newKey() {
        if (chance(0.15)) {
            return new IdempotencyKey("w", "opaque-" + keys.size());
        }
        long ageMillis = chance(0.2) ? random.nextInt(200) : random.nextInt(20) - 10;
        return UuidKeys.version7(
                ClaimSimulation.EPOCH_MILLIS + simulation.nowMillis() - ageMillis, keys.size());
    }

    private void changeList() {
        if (chance(0.012)) {
            publishChange();
        }
        List<String> runningRouters = runningRouters();
        if (!runningRouters.isEmpty() && chance(0.15)) {
            int staleness = random.nextInt(Math.min(3, published.size()));
            simulation.updateList(
                    pick(runningRouters), published.get(published.size() - 1 - staleness));
        }
    }

    private void publishChange() {
        List<Voter> voters = new ArrayList<>(published.get(published.size() - 1).voters());
        boolean add = voters.size() <= minRouters || (voters.size() < maxRouters && chance(0.5));
        if (!add || (!restarts && chance(0.3))) {
            Voter removed = voters.remove(random.nextInt(voters.size()));
            if (restarts) {
                simulation.kill(removed.vmId());
            }
        }
        Optional<Voter> added = add ? Optional.of(startVoter()) : Optional.empty();
        added.ifPresent(voters::add);
        publish(voters);
        added.ifPresent(
                voter -> simulation.updateList(voter.vmId(), published.get(published.size() - 1)));
    }

    private void injectFaults() {
        String any = pick(List.copyOf(simulation.routers.keySet()));
        if (chance(0.01)) {
            cutOff.clear();
            simulation.routers.keySet().stream().filter(vmId -> chance(0.5)).forEach(cutOff::add);
        } else if (chance(0.02)) {
            cutOff.clear();
        }
        if (chance(0.01)) {
            simulation.setPaused(any, true);
        }
        if (chance(0.05)) {
            simulation.routers.keySet().forEach(vmId -> simulation.setPaused(vmId, false));
        }
        if (restarts && chance(0.01) && simulation.isRunning(any)) {
            restart(any);
        }
        if (chance(0.01) && simulation.isRunning(any)) {
            simulation.handOver(any);
        }
        for (String vmId : List.copyOf(simulation.handedOver)) {
            if (simulation.isRunning(vmId) && chance(0.05)) {
                restart(vmId);
            }
        }
    }

    private void restart(String vmId) {
        simulation.handedOver.remove(vmId);
        simulation.start(vmId, randomSkewMillis());
        int staleness = random.nextInt(Math.min(3, published.size()));
        simulation.updateList(vmId, published.get(published.size() - 1 - staleness));
    }

    private Voter startVoter() {
        String vmId = "v" + lastVm;
        simulation.start(vmId, randomSkewMillis());
        return new Voter(vmId, "domain" + lastVm++ % 3);
    }

    private void publish(List<Voter> voters) {
        published.add(new VoterList(published.size() + 1, List.copyOf(voters)));
    }

    private long randomSkewMillis() {
        return random.nextInt((int) SETTINGS.maxClockSkewMillis() + 1)
                - SETTINGS.maxClockSkewMillis() / 2;
    }

    private List<String> runningRouters() {
        return simulation.routers.keySet().stream().filter(simulation::isRunning).toList();
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private <T> T pick(List<T> items) {
        return items.get(random.nextInt(items.size()));
    }
}
