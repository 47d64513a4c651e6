package org.bronzewheel.upstreams;

/** The receiver of what upstreams say of themselves in any answer, whoever waits for it. */
@FunctionalInterface
public interface AnnouncementListener {
    /**
     * Takes what an answer says, before anything else is done with the answer.
     *
     * @param from the upstream that was sent the request
     * @param announcement what its answer says
     * @param elapsedMillis the time since the request was sent, in milliseconds
     */
    void announced(UpstreamEntry from, Announcement announcement, long elapsedMillis);
}
