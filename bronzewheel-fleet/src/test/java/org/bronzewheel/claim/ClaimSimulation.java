package org.bronzewheel.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.bronzewheel.machine.Outgoing;
import org.bronzewheel.machine.Step;
import org.bronzewheel.request.IdempotencyKey;
import org.bronzewheel.request.RequestId;
import org.bronzewheel.transport.Peer;

/**
 * Simulates routers with real claim machines, the messages between them and one virtual clock. It
 * checks that a key is granted once and run once, and that a request whose claim was refused is
 * never granted.
 */
final class ClaimSimulation {
    static final long EPOCH_MILLIS = 1_800_000_000_000L;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    final TreeMap<String, ModelRouter> routers;
    final List<InFlight> inFlight;
    final Map<RequestId, IdempotencyKey> requests;
    final Set<String> handedOver = new TreeSet<>();
    private final ClaimSettings settings;
    private final ClaimRules rules;
    private final Set<RequestId> ended;
    private final Map<IdempotencyKey, Long> grantedAtMillis;
    private final Map<IdempotencyKey, Long> ranAtMillis;
    private final Set<RequestId> unsent;
    private long nowMillis;
    private long lastIncarnation;
    private long lastSequence;
    private int grants;
    private int refusals;
    private Optional<String> violation;
    private boolean sharesRouters;

    ClaimSimulation(ClaimSettings settings, ClaimRules rules) {
        this.settings = settings;
        this.rules = rules;
        this.routers = new TreeMap<>();
        this.inFlight = new ArrayList<>();
        this.requests = new HashMap<>();
        this.ended = new HashSet<>();
        this.grantedAtMillis = new HashMap<>();
        this.ranAtMillis = new HashMap<>();
        this.unsent = new HashSet<>();
        this.violation = Optional.empty();
    }

    private ClaimSimulation(ClaimSimulation other) {
        this.settings = other.settings;
        this.rules = other.rules;
        this.routers = new TreeMap<>();
        this.routers.putAll(other.routers);
        this.sharesRouters = true;
        this.handedOver.addAll(other.handedOver);
        this.inFlight = new ArrayList<>(other.inFlight);
        this.requests = new HashMap<>(other.requests);
        this.ended = new HashSet<>(other.ended);
        this.grantedAtMillis = new HashMap<>(other.grantedAtMillis);
        this.ranAtMillis = new HashMap<>(other.ranAtMillis);
        this.unsent = new HashSet<>(other.unsent);
        this.nowMillis = other.nowMillis;
        this.lastIncarnation = other.lastIncarnation;
        this.lastSequence = other.lastSequence;
        this.grants = other.grants;
        this.refusals = other.refusals;
        this.violation = other.violation;
    }

    ClaimSimulation copy() {
        return new ClaimSimulation(this);
    }

    /** Starts a router, or a new incarnation of it that remembers no votes. */
    void start(String vmId, long skewMillis) {
        Peer peer = new Peer(vmId, ++lastIncarnation);
        ClaimMachine machine = new ClaimMachine(settings, rules, peer, nowNanos());
        routers.put(vmId, new ModelRouter(machine, peer, skewMillis, true, false));
        unsent.removeIf(request -> request.vmId().equals(vmId));
    }

    /** Stops a router without a graceful shutdown. */
    void kill(String vmId) {
        routers.computeIfPresent(vmId, (id, router) -> router.withUp(false));
        unsent.removeIf(request -> request.vmId().equals(vmId));
    }

    void setPaused(String vmId, boolean paused) {
        routers.computeIfPresent(vmId, (id, router) -> router.withPaused(paused));
    }

    void updateList(String vmId, VoterList list) {
        ModelRouter router = ownRouter(vmId);
        setWallClock(router);
        applyStep(router, router.machine().updateList(list, nowNanos()));
    }

    void handOver(String vmId) {
        ModelRouter router = ownRouter(vmId);
        setWallClock(router);
        applyStep(router, router.machine().handOver(nowNanos()));
    }

    RequestId claim(String vmId, IdempotencyKey key) {
        ModelRouter router = ownRouter(vmId);
        RequestId requestId = new RequestId(vmId, router.peer().incarnation(), ++lastSequence);
        requests.put(requestId, key);
        setWallClock(router);
        ClaimRequest request = new ClaimRequest(key, requestId, "body", 60_000);
        applyStep(router, router.machine().claim(request, nowNanos()));
        return requestId;
    }

    /** Delivers a message, or drops it if its receiver is down. */
    void deliver(InFlight message) {
        inFlight.remove(message);
        deliverCopy(message);
    }

    /** Delivers a message that remains in flight. */
    void deliverCopy(InFlight message) {
        if (isRunning(message.toVmId())) {
            ModelRouter router = ownRouter(message.toVmId());
            setWallClock(router);
            applyStep(
                    router,
                    router.machine().receive(message.from(), message.message(), nowNanos()));
        }
    }

    /** Advances time and ticks the running routers. */
    void advance(long millis) {
        nowMillis += millis;
        for (String vmId : List.copyOf(routers.keySet())) {
            if (isRunning(vmId)) {
                ModelRouter router = ownRouter(vmId);
                setWallClock(router);
                applyStep(router, router.machine().tick(nowNanos()));
            }
        }
    }

    /** Delivers pings and pongs in order. */
    void deliverEvidence() {
        List<InFlight> exchanged = evidenceInFlight();
        while (!exchanged.isEmpty()) {
            exchanged.forEach(this::deliver);
            exchanged = evidenceInFlight();
        }
    }

    /** Removes replies to claims that have ended, which their receivers ignore. */
    void dropIgnoredReplies() {
        inFlight.removeIf(
                message ->
                        message.message() instanceof ClaimMessage.VoteReply reply
                                && !routers.get(message.toVmId())
                                        .machine()
                                        .isOpen(reply.requestId()));
    }

    boolean isRunning(String vmId) {
        return routers.containsKey(vmId) && routers.get(vmId).isRunning();
    }

    /** Delivers all messages in order until none is left. */
    void deliverAll() {
        while (!inFlight.isEmpty()) {
            deliver(inFlight.get(0));
        }
    }

    /** Sends a granted request upstream if the grant is still valid. */
    void run(RequestId requestId) {
        unsent.remove(requestId);
        ModelRouter router = routers.get(requestId.vmId());
        if (!router.machine().isStillGranted(requestId, nowNanos())) {
            return;
        }
        IdempotencyKey key = requests.get(requestId);
        Long before = ranAtMillis.put(key, nowMillis);
        if (before != null && isWithinGuarantee(key, before)) {
            violation = Optional.of("key ran twice: " + key.text());
        }
    }

    List<RequestId> unsent() {
        return unsent.stream()
                .filter(request -> routers.get(request.vmId()).isRunning())
                .sorted(java.util.Comparator.comparing(RequestId::toString))
                .toList();
    }

    long nowMillis() {
        return nowMillis;
    }

    int grants() {
        return grants;
    }

    int refusals() {
        return refusals;
    }

    Optional<String> violation() {
        return violation;
    }

    String fingerprint() {
        StringBuilder text = new StringBuilder();
        routers.values().forEach(text::append);
        inFlight.stream().map(InFlight::toString).sorted().forEach(text::append);
        text.append(new TreeMap<>(sortable(ranAtMillis)));
        text.append(new TreeMap<>(sortable(grantedAtMillis)));
        text.append(unsent()).append(nowMillis).append(lastSequence).append(violation);
        return text.toString();
    }

    private List<InFlight> evidenceInFlight() {
        return inFlight.stream()
                .filter(
                        message ->
                                message.message() instanceof ClaimMessage.Ping
                                        || message.message() instanceof ClaimMessage.Pong)
                .toList();
    }

    /** Returns a router that is not shared with a copy of this simulation. */
    private ModelRouter ownRouter(String vmId) {
        if (sharesRouters) {
            routers.computeIfPresent(vmId, (id, router) -> router.copy());
        }
        return routers.get(vmId);
    }

    private static Map<String, Long> sortable(Map<IdempotencyKey, Long> times) {
        Map<String, Long> result = new HashMap<>();
        times.forEach((key, time) -> result.put(key.text(), time));
        return result;
    }

    private void applyStep(ModelRouter router, Step<ClaimMessage, ClaimEvent> step) {
        for (Outgoing<ClaimMessage> outgoing : step.messages()) {
            inFlight.add(new InFlight(router.peer(), outgoing.toVmId(), outgoing.message()));
        }
        for (ClaimEvent event : step.events()) {
            if (event instanceof ClaimEvent.Decided decided) {
                recordDecision(decided.requestId(), decided.decision());
            } else if (event instanceof ClaimEvent.HandedOver) {
                handedOver.add(router.peer().vmId());
            }
        }
    }

    private void recordDecision(RequestId requestId, ClaimDecision decision) {
        boolean first = ended.add(requestId);
        if (!(decision instanceof ClaimDecision.Granted)) {
            refusals += decision instanceof ClaimDecision.Refused ? 1 : 0;
            return;
        }
        grants++;
        if (!first) {
            violation = Optional.of("granted after it was refused: " + requestId);
            return;
        }
        unsent.add(requestId);
        IdempotencyKey key = requests.get(requestId);
        Long before = grantedAtMillis.put(key, nowMillis);
        if (before != null && isWithinGuarantee(key, before)) {
            violation = Optional.of("key granted twice: " + key.text());
        }
    }

    /** A key with a creation time is granted once; any other key once within the retention. */
    private boolean isWithinGuarantee(IdempotencyKey key, long beforeMillis) {
        return key.createdAtEpochMillis().isPresent()
                || nowMillis - beforeMillis < settings.retentionMillis() - settings.claimMillis();
    }

    private void setWallClock(ModelRouter router) {
        router.machine().setWallClock(EPOCH_MILLIS + nowMillis + router.skewMillis(), nowNanos());
    }

    private long nowNanos() {
        return nowMillis * NANOS_PER_MILLI;
    }
}
