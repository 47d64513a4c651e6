package org.bronzewheel.policy;

import java.util.List;
import org.bronzewheel.admission.Dropped;

/**
 * The decisions of one poll of a pool.
 *
 * @param <T> the type of the work
 * @param dispatches the calls to send now
 * @param dropped the work items that can no longer meet their deadline
 */
public record PollResult<T>(List<Dispatch<T>> dispatches, List<Dropped<T>> dropped) {}
