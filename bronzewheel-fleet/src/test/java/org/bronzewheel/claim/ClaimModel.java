package org.bronzewheel.claim;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.bronzewheel.check.Model;
import org.bronzewheel.check.Transition;
import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.request.RequestId;

/** All schedules of a few claims of one key in a fleet after its warm-up, bounded by a scope. */
final class ClaimModel implements Model<ScopedSimulation> {
    private final ClaimSettings settings;
    private final ClaimRules rules;
    private final ClaimScope scope;
    private final IdempotencyKey key;

    ClaimModel(ClaimSettings settings, ClaimRules rules, ClaimScope scope) {
        this.settings = settings;
        this.rules = rules;
        this.scope = scope;
        this.key =
                scope.keyAheadMillis() < 0
                        ? new IdempotencyKey("w", "opaque")
                        : UuidKeys.version7(
                                ClaimSimulation.EPOCH_MILLIS
                                        + warmMillis()
                                        + scope.keyAheadMillis(),
                                1);
    }

    @Override
    public ScopedSimulation initial() {
        ClaimSimulation simulation = new ClaimSimulation(settings, rules);
        VoterList list = list();
        list.voters().forEach(voter -> simulation.start(voter.vmId(), 0));
        list.voters().forEach(voter -> simulation.updateList(voter.vmId(), list));
        if (!scope.learners().isEmpty()) {
            simulation.start("r" + scope.routers(), 0);
        }
        simulation.deliverAll();
        simulation.advance(warmMillis());
        simulation.deliverAll();
        return new ScopedSimulation(simulation);
    }

    @Override
    public ScopedSimulation copy(ScopedSimulation state) {
        return state.copy();
    }

    @Override
    public void normalize(ScopedSimulation state) {
        state.simulation.deliverEvidence();
        state.simulation.dropIgnoredReplies();
    }

    @Override
    public List<Transition<ScopedSimulation>> transitions(ScopedSimulation state) {
        List<Transition<ScopedSimulation>> result = new ArrayList<>();
        addClaims(state, result);
        addMessages(state, result);
        addCrashes(state, result);
        addTime(state, result);
        addHandOver(state, result);
        addLearners(state, result);
        for (RequestId request : scope.runs() ? state.simulation.unsent() : List.<RequestId>of()) {
            result.add(new Transition<>("run " + request, next -> next.simulation.run(request)));
        }
        return result;
    }

    @Override
    public Optional<String> violation(ScopedSimulation state) {
        return state.simulation.violation();
    }

    @Override
    public String fingerprint(ScopedSimulation state) {
        return state.fingerprint();
    }

    private void addClaims(ScopedSimulation state, List<Transition<ScopedSimulation>> result) {
        if (state.claimsMade < scope.claimants().size() && !mustAdvanceTimeFirst(state)) {
            String vmId = scope.claimants().get(state.claimsMade);
            result.add(
                    new Transition<>(
                            "claim at " + vmId,
                            next -> {
                                next.claimsMade++;
                                next.simulation.claim(vmId, key);
                            }));
        }
    }

    /**
     * To bound the number of states, the second claim of a scope with a hand-over and both claims
     * of a scope with a list change are made only after time has advanced.
     */
    private boolean mustAdvanceTimeFirst(ScopedSimulation state) {
        boolean bounded =
                !scope.learners().isEmpty() || (scope.handOvers() > 0 && state.claimsMade == 1);
        return bounded && state.advances < scope.advancesMillis().size();
    }

    private void addMessages(ScopedSimulation state, List<Transition<ScopedSimulation>> result) {
        for (InFlight message : new LinkedHashSet<>(state.simulation.inFlight)) {
            result.add(
                    new Transition<>(
                            "deliver " + message, next -> next.simulation.deliver(message)));
            if (state.drops < scope.drops()) {
                result.add(
                        new Transition<>(
                                "drop " + message,
                                next -> {
                                    next.drops++;
                                    next.simulation.inFlight.remove(message);
                                }));
            }
            if (state.duplicates < scope.duplicates()) {
                result.add(
                        new Transition<>(
                                "deliver and duplicate " + message,
                                next -> {
                                    next.duplicates++;
                                    next.simulation.deliverCopy(message);
                                }));
            }
        }
    }

    private void addCrashes(ScopedSimulation state, List<Transition<ScopedSimulation>> result) {
        if (state.crashes >= scope.crashes()) {
            return;
        }
        for (String vmId : state.simulation.routers.keySet()) {
            result.add(
                    new Transition<>(
                            "restart " + vmId,
                            next -> {
                                next.crashes++;
                                next.simulation.start(vmId, 0);
                                next.simulation.updateList(vmId, list());
                            }));
        }
    }

    private void addHandOver(ScopedSimulation state, List<Transition<ScopedSimulation>> result) {
        if (state.handOvers < scope.handOvers()) {
            String leaving = "r" + (scope.routers() - 1);
            result.add(
                    new Transition<>(
                            "hand over " + leaving,
                            next -> {
                                next.handOvers++;
                                next.simulation.handOver(leaving);
                            }));
        }
    }

    private void addLearners(ScopedSimulation state, List<Transition<ScopedSimulation>> result) {
        for (String vmId : scope.learners()) {
            if (!state.learned.contains(vmId)) {
                result.add(
                        new Transition<>(
                                "new list at " + vmId,
                                next -> {
                                    next.learned.add(vmId);
                                    next.simulation.updateList(vmId, secondList());
                                }));
            }
        }
    }

    private void addTime(ScopedSimulation state, List<Transition<ScopedSimulation>> result) {
        if (state.advances >= scope.advancesMillis().size()) {
            return;
        }
        long millis = scope.advancesMillis().get(state.advances);
        result.add(
                new Transition<>(
                        "advance " + millis + " ms",
                        next -> {
                            next.advances++;
                            next.simulation.advance(millis);
                        }));
        boolean bounded = scope.handOvers() > 0 || !scope.learners().isEmpty();
        List<String> mayPause = bounded ? List.of() : scope.claimants();
        for (String paused : mayPause) {
            result.add(
                    new Transition<>(
                            "advance " + millis + " ms with " + paused + " paused",
                            next -> {
                                next.advances++;
                                next.simulation.setPaused(paused, true);
                                next.simulation.advance(millis);
                                next.simulation.setPaused(paused, false);
                            }));
        }
    }

    private VoterList list() {
        return list(1, 0);
    }

    private VoterList secondList() {
        return list(2, 1);
    }

    private VoterList list(long revision, int first) {
        return new VoterList(
                revision,
                IntStream.range(first, first + scope.routers())
                        .mapToObj(i -> new Voter("r" + i, "domain" + i % 3))
                        .toList());
    }

    private long warmMillis() {
        return settings.retentionMillis() + 2 * settings.warmUpMillis();
    }
}
