package org.bronzewheel.steward;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.bronzewheel.transport.Peer;

/** The vote of one router on the lease of one pool; it is granted to one holder at a time. */
final class LeaseVoter {
    private final StewardSettings settings;
    private final Set<StewardRule> rules;
    private final long readyNanos;
    private Peer holder;
    private long expiresNanos;
    private long newestConfigurationRevision;

    LeaseVoter(StewardSettings settings, Set<StewardRule> rules, long startedNanos) {
        this.settings = settings;
        this.rules = rules;
        readyNanos = startedNanos + voterLeaseNanos();
    }

    boolean vote(
            Peer from,
            StewardMessage.Request request,
            long ownListRevision,
            long ownConfigurationRevision,
            long nowNanos) {
        boolean ready =
                nowNanos - readyNanos >= 0 || !rules.contains(StewardRule.RESTARTED_VOTER_WAITS);
        boolean free =
                holder == null
                        || holder.equals(from)
                        || nowNanos - expiresNanos >= 0
                        || !rules.contains(StewardRule.SUCCESSOR_WAITS);
        long oldest = Math.max(ownConfigurationRevision, newestConfigurationRevision);
        boolean current =
                request.configurationRevision() >= oldest
                        || !rules.contains(StewardRule.CONFIGURATION_NEVER_FALLS);
        if (!ready || !free || !current || request.listRevision() != ownListRevision) {
            return false;
        }
        holder = from;
        expiresNanos = nowNanos + voterLeaseNanos();
        newestConfigurationRevision = request.configurationRevision();
        return true;
    }

    void release(Peer from) {
        if (from.equals(holder)) {
            holder = null;
        }
    }

    private long voterLeaseNanos() {
        return TimeUnit.MILLISECONDS.toNanos(settings.voterLeaseMillis());
    }
}
