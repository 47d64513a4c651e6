package org.bronzewheel.upstreams;

import org.bronzewheel.membership.RendezvousHash;

/** An upstream with the load and health that this router observes. Confined to the serving loop. */
public final class Upstream {
    private static final double SMOOTHING = 0.2;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final AnnouncementState state;
    private final int loadKey;
    private final SlownessEstimate slowness = new SlownessEstimate();
    private final ColdTime coldTime = new ColdTime();
    private UpstreamEntry entry;
    private int callsInFlight;
    private int pendingPromptTokens;
    private double failureShare;
    private double millisPerCall;
    private int samples;
    private long ejectedUntilMillis = NEVER;
    private long lastBytesMillis = NEVER;
    private boolean misdirected;
    private int consecutiveFailures;

    Upstream(UpstreamEntry entry, AnnouncementState state) {
        this.entry = entry;
        this.state = state;
        this.loadKey =
                (int)
                        (RendezvousHash.score(entry.id(), Long.toString(entry.startedMillis()))
                                >>> Integer.SIZE);
    }

    /**
     * Returns the published entry.
     *
     * @return the newest entry
     */
    public UpstreamEntry entry() {
        return entry;
    }

    /**
     * Returns the key under which routers report their load on this process of the upstream.
     *
     * @return a hash of the id and the start time, which is the same at all routers
     */
    public int loadKey() {
        return loadKey;
    }

    void update(UpstreamEntry newer) {
        entry = newer;
    }

    ColdTime coldTime() {
        return coldTime;
    }

    /**
     * Records the start of a call.
     *
     * @param tokens the prompt tokens of the call; 0 for calls without a prompt
     */
    public void callStarted(int tokens) {
        callsInFlight++;
        pendingPromptTokens += tokens;
    }

    /**
     * Records the end of a call.
     *
     * @param tokens the prompt tokens of the call that are still recorded as pending
     */
    public void callEnded(int tokens) {
        callsInFlight--;
        pendingPromptTokens -= tokens;
    }

    /**
     * Records that the upstream has processed prompt tokens.
     *
     * @param tokens the number of tokens
     */
    public void promptTokensRead(int tokens) {
        pendingPromptTokens -= tokens;
    }

    /**
     * Records a good answer.
     *
     * @param elapsedMillis the time that it took, in milliseconds
     */
    public void recordSuccess(double elapsedMillis) {
        samples++;
        consecutiveFailures = 0;
        failureShare -= SMOOTHING * failureShare;
        millisPerCall =
                millisPerCall == 0
                        ? elapsedMillis
                        : millisPerCall + SMOOTHING * (elapsedMillis - millisPerCall);
    }

    /**
     * Records how long work took at the upstream, relative to the usual time of its service.
     *
     * @param ratio 1 as usual, 2 for twice the time
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    void recordSlowness(double ratio, long nowMillis) {
        slowness.sample(ratio, nowMillis);
    }

    /**
     * Returns how slow the upstream is according to its recent answers to this router.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return 1 as usual, 2 for twice the time; 1 without recent answers
     */
    public double slowness(long nowMillis) {
        return slowness.slowness(nowMillis);
    }

    /**
     * Returns how long work takes at the upstream at present, according to its own report.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return 1 as usual, 2 for twice the time; 1 without a recent report
     */
    public double reportedSlowness(long nowMillis) {
        return state.loadReports().slowness(nowMillis);
    }

    /**
     * Returns the requests of all routers that run at the upstream, according to its own report.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the number, less with age; 0 without a recent report
     */
    double reportedRunning(long nowMillis) {
        return state.loadReports().running(nowMillis);
    }

    /**
     * Returns the requests of all routers that wait at the upstream, according to its own report.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the number, less with age; 0 without a recent report
     */
    double reportedWaiting(long nowMillis) {
        return state.loadReports().waiting(nowMillis);
    }

    /** Records a failure that the upstream caused. */
    public void recordFailure() {
        samples++;
        consecutiveFailures++;
        failureShare += SMOOTHING * (1 - failureShare);
    }

    /**
     * Ejects the upstream from selection for a while.
     *
     * @param untilMillis the end of the ejection, in milliseconds of the steady clock
     */
    public void eject(long untilMillis) {
        ejectedUntilMillis = untilMillis;
        // Calls after the ejection decide about the next one.
        failureShare /= 2;
        consecutiveFailures = 0;
    }

    /** Records that another upstream answers at the address. */
    public void markMisdirected() {
        misdirected = true;
    }

    /**
     * Records that bytes were received from the upstream.
     *
     * @param nowMillis the time, in milliseconds of the receive clock
     */
    public void bytesReceived(long nowMillis) {
        lastBytesMillis = nowMillis;
    }

    /**
     * Returns when bytes were last received from the upstream.
     *
     * @param sinceMillis the earliest time to return
     * @return the later of both, in milliseconds of the receive clock
     */
    public long lastReceivedMillis(long sinceMillis) {
        return Math.max(sinceMillis, lastBytesMillis);
    }

    boolean isEjected(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }

    /**
     * Returns whether other upstreams are preferred, because this one is ejected or another router
     * reported that it is leaving.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return whether it is selected only if there is no other
     */
    public boolean isDeprioritized(long nowMillis) {
        return isEjected(nowMillis) || state.isHintedToLeave(nowMillis);
    }

    /**
     * Returns whether the upstream is leaving, according to its published entry or its own
     * announcement.
     *
     * @return whether it gets no new requests
     */
    public boolean isLeaving() {
        return entry.leaving() || state.isLeaving();
    }

    /**
     * Records that a request is sent to the upstream.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void requestSent(long nowMillis) {
        state.requestSent(nowMillis);
    }

    /**
     * Returns for how long a pause that the upstream asked for blocks sends from this router.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the time in milliseconds; 0 without a pause
     */
    public long blockedMillis(long nowMillis) {
        return state.blockedMillis(nowMillis);
    }

    /**
     * Returns whether another upstream answers at the address.
     *
     * @return whether this upstream is no longer at its address
     */
    public boolean isMisdirected() {
        return misdirected;
    }

    double failureShare() {
        return failureShare;
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    int samples() {
        return samples;
    }

    /**
     * Returns the exponentially smoothed time of a call.
     *
     * @return the time in milliseconds; 0 before the first answer
     */
    public double millisPerCall() {
        return millisPerCall;
    }

    /**
     * Returns the calls in progress.
     *
     * @return the number of calls of this router
     */
    public int callsInFlight() {
        return callsInFlight;
    }

    /**
     * Returns the prompt tokens that were sent and not yet processed.
     *
     * @return the number of tokens of this router's calls
     */
    public int pendingPromptTokens() {
        return pendingPromptTokens;
    }
}
