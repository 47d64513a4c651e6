package org.bronzewheel.serving;

import org.bronzewheel.loop.ReceiveClock;

/**
 * The state that all requests of one serving engine share.
 *
 * @param engineWaits the waits for the first event at model engines
 * @param answerTimes the times of attempts to their answers
 * @param receiveClock the time during which the loop could receive data
 * @param stopPlan the planned stop of this router
 * @param responseMemory the memory that responses in progress occupy
 */
record ServingState(
        FirstEventWaits engineWaits,
        AnswerTimes answerTimes,
        ReceiveClock receiveClock,
        StopPlan stopPlan,
        ResponseMemory responseMemory) {}
