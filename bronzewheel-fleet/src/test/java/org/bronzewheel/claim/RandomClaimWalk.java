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
 * A long random schedule: claims and sends, lost, doubled, late and reordered messages, partitions,
 * pauses, restarts without memory, clock skew, list changes and stale lists. It is the same for the
 * same seed.
 *
 * <p>Even seeds keep removed routers running and restart none; odd seeds end routers when they are
 * removed, restart others, also with a stale list, and let the list grow or shrink by one only.
 */
final class RandomClaimWalk {
    static final ClaimSettings SETTINGS =
            new ClaimSettings(3_000, 1_500, 200, 40, 4, 30, 8, 5, 10_000);

    private static final int MAX_IN_FLIGHT = 400;
    private static final int RECENT_KEYS = 6;

    private final Random random;
    private final boolean restarts;
    private final ClaimSimulation world;
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
        this.world = new ClaimSimulation(SETTINGS, rules);
        int routers = 3 + random.nextInt(restarts ? 3 : 5);
        this.minRouters = restarts ? routers : 2;
        this.maxRouters = restarts ? routers + 1 : 9;
        List<Voter> voters = new ArrayList<>();
        for (int i = 0; i < routers; i++) {
            voters.add(startVoter());
        }
        publish(voters);
        voters.forEach(voter -> world.learn(voter.vmId(), published.get(0)));
    }

    /** Runs until a property breaks or the steps are used up. */
    Optional<String> run(int maxSteps) {
        while (steps < maxSteps && world.violation().isEmpty()) {
            steps++;
            step();
        }
        return world.violation();
    }

    int steps() {
        return steps;
    }

    ClaimSimulation world() {
        return world;
    }

    private void step() {
        world.advance(1 + random.nextInt(3));
        deliverSome();
        if (chance(0.4)) {
            claim();
        }
        List<RequestId> unsent = world.unsent();
        if (!unsent.isEmpty() && chance(0.3)) {
            world.run(pick(unsent));
        }
        changeList();
        disturb();
    }

    private void deliverSome() {
        for (InFlight message : List.copyOf(world.inFlight)) {
            boolean cut =
                    cutOff.contains(message.from().vmId()) != cutOff.contains(message.toVmId());
            if (cut || chance(0.03)) {
                world.inFlight.remove(message);
            } else if (chance(0.05)) {
                world.deliverCopy(message);
            } else if (chance(0.75)) {
                world.deliver(message);
            }
        }
        while (world.inFlight.size() > MAX_IN_FLIGHT) {
            world.inFlight.remove(random.nextInt(world.inFlight.size()));
        }
    }

    private void claim() {
        List<String> working = working();
        if (working.isEmpty()) {
            return;
        }
        if (keys.isEmpty() || chance(0.3)) {
            keys.add(newKey());
        }
        int recent = Math.min(keys.size(), RECENT_KEYS);
        IdempotencyKey key =
                chance(0.05) ? pick(keys) : keys.get(keys.size() - 1 - random.nextInt(recent));
        world.claim(pick(working), key);
    }

    private IdempotencyKey newKey() {
        if (chance(0.15)) {
            return new IdempotencyKey("w", "opaque-" + keys.size());
        }
        long ageMillis = chance(0.2) ? random.nextInt(200) : random.nextInt(20) - 10;
        return UuidKeys.at(
                ClaimSimulation.EPOCH_MILLIS + world.nowMillis() - ageMillis, keys.size());
    }

    private void changeList() {
        if (chance(0.012)) {
            publishChange();
        }
        List<String> working = working();
        if (!working.isEmpty() && chance(0.15)) {
            int staleness = random.nextInt(Math.min(3, published.size()));
            world.learn(pick(working), published.get(published.size() - 1 - staleness));
        }
    }

    private void publishChange() {
        List<Voter> voters = new ArrayList<>(published.get(published.size() - 1).voters());
        boolean add = voters.size() <= minRouters || (voters.size() < maxRouters && chance(0.5));
        if (!add || (!restarts && chance(0.3))) {
            Voter removed = voters.remove(random.nextInt(voters.size()));
            if (restarts) {
                world.kill(removed.vmId());
            }
        }
        Optional<Voter> added = add ? Optional.of(startVoter()) : Optional.empty();
        added.ifPresent(voters::add);
        publish(voters);
        added.ifPresent(voter -> world.learn(voter.vmId(), published.get(published.size() - 1)));
    }

    private void disturb() {
        String any = pick(List.copyOf(world.routers.keySet()));
        if (chance(0.01)) {
            cutOff.clear();
            world.routers.keySet().stream().filter(vmId -> chance(0.5)).forEach(cutOff::add);
        } else if (chance(0.02)) {
            cutOff.clear();
        }
        if (chance(0.01)) {
            world.setPaused(any, true);
        }
        if (chance(0.05)) {
            world.routers.keySet().forEach(vmId -> world.setPaused(vmId, false));
        }
        if (restarts && chance(0.01) && world.works(any)) {
            restart(any);
        }
        if (chance(0.01) && world.works(any)) {
            world.handOver(any);
        }
        for (String vmId : List.copyOf(world.handedOver)) {
            if (world.works(vmId) && chance(0.05)) {
                restart(vmId);
            }
        }
    }

    private void restart(String vmId) {
        world.handedOver.remove(vmId);
        world.start(vmId, randomSkewMillis());
        int staleness = random.nextInt(Math.min(3, published.size()));
        world.learn(vmId, published.get(published.size() - 1 - staleness));
    }

    private Voter startVoter() {
        String vmId = "v" + lastVm;
        world.start(vmId, randomSkewMillis());
        return new Voter(vmId, "domain" + lastVm++ % 3);
    }

    private void publish(List<Voter> voters) {
        published.add(new VoterList(published.size() + 1, List.copyOf(voters)));
    }

    private long randomSkewMillis() {
        return random.nextInt((int) SETTINGS.maxClockSkewMillis() + 1)
                - SETTINGS.maxClockSkewMillis() / 2;
    }

    private List<String> working() {
        return world.routers.keySet().stream().filter(world::works).toList();
    }

    private boolean chance(double probability) {
        return random.nextDouble() < probability;
    }

    private <T> T pick(List<T> items) {
        return items.get(random.nextInt(items.size()));
    }
}
