package org.bronzewheel.upstreams;

/** Receives the announcements of all upstream answers, also of those that no caller waits for. */
@FunctionalInterface
public interface AnnouncementListener {
    /**
     * Handles the announcement of an answer, before the answer is processed further.
     *
     * @param from the upstream that the request was sent to
     * @param announcement what its answer announces
     * @param elapsedMillis the time since the request was sent, in milliseconds
     */
    void announced(UpstreamEntry from, Announcement announcement, long elapsedMillis);
}
