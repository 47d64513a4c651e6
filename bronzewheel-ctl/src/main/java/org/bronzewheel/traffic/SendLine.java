package org.bronzewheel.traffic;

import java.util.List;

/**
 * One caller's sends of a request, one after the other, until it gave up or had a final reply.
 *
 * @param replies the replies, at least one, in order
 * @param latencyMillis from the planned time of the first send to the last reply, in milliseconds
 */
public record SendLine(List<Reply> replies, long latencyMillis) {
    /**
     * Returns the reply that the caller stays with.
     *
     * @return the last reply
     */
    public Reply last() {
        return replies.get(replies.size() - 1);
    }
}
