package org.bronzewheel.policy;

import java.util.List;
import org.bronzewheel.admission.Dropped;

/**
 * The decisions of one look at the queue of a pool.
 *
 * @param <T> the type of the work
 * @param dispatches what to send now
 * @param dropped what can no longer be in time
 */
public record PollResult<T>(List<Dispatch<T>> dispatches, List<Dropped<T>> dropped) {}
