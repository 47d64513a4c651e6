package org.bronzewheel.shedding;

/**
 * A task that waits for a pool.
 *
 * @param task the task that the caller of the policy knows
 * @param requestId the id of its request
 * @param stage the index of the task within its request; together with the id it decides between
 *     tasks that are otherwise equal
 * @param rank the rank of its request, 0 being the most urgent
 * @param objectiveAtMillis the time by which the request should be answered, in milliseconds
 * @param deadlineAtMillis the time by which the request must be answered, in milliseconds
 * @param workMillis the time for which the task occupies the whole pool, in milliseconds
 * @param laterMillis the expected time from the end of the task to the answer, in milliseconds
 * @param leastLaterMillis the same without queueing, in milliseconds
 * @param <T> the type of the task
 */
public record QueuedTask<T>(
        T task,
        String requestId,
        int stage,
        int rank,
        long objectiveAtMillis,
        long deadlineAtMillis,
        double workMillis,
        double laterMillis,
        double leastLaterMillis) {
    double remainingWorkMillis() {
        return workMillis + laterMillis;
    }
}
