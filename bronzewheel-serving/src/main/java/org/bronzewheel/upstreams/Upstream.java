package org.bronzewheel.upstreams;

/** One upstream with what this router observes of it. Owned by the serving loop. */
public final class Upstream {
    private static final double SMOOTHING = 0.2;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final AnnouncementState account;
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

    Upstream(UpstreamEntry entry, AnnouncementState account) {
        this.entry = entry;
        this.account = account;
    }

    /**
     * Returns the published entry.
     *
     * @return the newest entry
     */
    public UpstreamEntry entry() {
        return entry;
    }

    void update(UpstreamEntry newer) {
        entry = newer;
    }

    /**
     * Books a call that is sent.
     *
     * @param tokens the prompt tokens that it brings; 0 for calls without a prompt
     */
    public void callStarted(int tokens) {
        callsInFlight++;
        pendingPromptTokens += tokens;
    }

    /**
     * Books the end of a call.
     *
     * @param tokens the prompt tokens that were booked and not yet read
     */
    public void callEnded(int tokens) {
        callsInFlight--;
        pendingPromptTokens -= tokens;
    }

    /**
     * Books prompt tokens that were read.
     *
     * @param tokens the number of tokens
     */
    public void promptTokensRead(int tokens) {
        pendingPromptTokens -= tokens;
    }

    /**
     * Books a good answer.
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

    /** Books an answer that failed by the upstream's fault. */
    public void recordFailure() {
        samples++;
        consecutiveFailures++;
        failureShare += SMOOTHING * (1 - failureShare);
    }

    /**
     * Takes the upstream out of the choice for a while.
     *
     * @param untilMillis the end of that time, in milliseconds of the steady clock
     */
    public void eject(long untilMillis) {
        ejectedUntilMillis = untilMillis;
        // The judgement starts anew with the calls after the ejection.
        failureShare /= 2;
        consecutiveFailures = 0;
    }

    /** Books that another upstream answers at the address. */
    public void markMisdirected() {
        misdirected = true;
    }

    /**
     * Books bytes that came from the upstream.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void bytesReceived(long nowMillis) {
        lastBytesMillis = nowMillis;
    }

    /**
     * Returns when the upstream was heard last.
     *
     * @param sinceMillis a time at which it counts as heard
     * @return the later of both, in milliseconds of the steady clock
     */
    public long lastReceivedMillis(long sinceMillis) {
        return Math.max(sinceMillis, lastBytesMillis);
    }

    boolean isEjected(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }

    /**
     * Tells whether others are better, as it fails or another router heard that it leaves.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return whether it is chosen only where there is no other
     */
    public boolean isDeprioritized(long nowMillis) {
        return isEjected(nowMillis) || account.isHintedToLeave(nowMillis);
    }

    /**
     * Tells whether the upstream gets nothing new, by the platform's word or by its own.
     *
     * @return whether it leaves
     */
    public boolean isLeaving() {
        return entry.leaving() || account.isLeaving();
    }

    /**
     * Books that something is sent to the upstream.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     */
    public void requestSent(long nowMillis) {
        account.requestSent(nowMillis);
    }

    /**
     * Returns for how long the upstream gets nothing from this router, as it asked for a pause.
     *
     * @param nowMillis the time, in milliseconds of the steady clock
     * @return the time in milliseconds; 0 without a pause
     */
    public long blockedMillis(long nowMillis) {
        return account.blockedMillis(nowMillis);
    }

    /**
     * Tells whether another upstream answers at the address.
     *
     * @return whether this upstream is known to be gone from its address
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
     * Returns the usual time of a call.
     *
     * @return the smoothed time in milliseconds; 0 before the first answer
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
     * Returns the prompt tokens that were sent and are not yet read.
     *
     * @return the number of tokens of this router's calls
     */
    public int pendingPromptTokens() {
        return pendingPromptTokens;
    }
}
