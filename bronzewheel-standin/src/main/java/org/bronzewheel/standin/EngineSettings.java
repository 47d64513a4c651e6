package org.bronzewheel.standin;

import java.util.List;
import org.bronzewheel.inventory.ModelVersion;

/**
 * The settings of a model engine stand-in.
 *
 * @param upstream name, address and capacity; workers are sequences that are batched together
 * @param models models that it holds from the start
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param tokenMicros time between two tokens of a sequence that runs alone, in microseconds
 * @param slowdownPercent how much a full batch lengthens that time, in percent
 * @param promptTokenMicros time to read one prompt token that is not cached, in microseconds
 * @param cacheBlocks prompt prefixes that the cache holds
 * @param modelLoadMillis time to load a model, in milliseconds
 * @param cacheEventLagMillis the age at which cache events are published, in milliseconds
 * @param cacheEventLossPercent cache events that are never published, in percent
 */
public record EngineSettings(
        UpstreamSettings upstream,
        List<ModelVersion> models,
        boolean checksFencing,
        long tokenMicros,
        int slowdownPercent,
        long promptTokenMicros,
        int cacheBlocks,
        long modelLoadMillis,
        long cacheEventLagMillis,
        int cacheEventLossPercent) {
    private static final long DEFAULT_TOKEN_MICROS = 4_000;
    private static final int DEFAULT_SLOWDOWN_PERCENT = 60;
    private static final long DEFAULT_PROMPT_TOKEN_MICROS = 200;
    private static final int DEFAULT_CACHE_BLOCKS = 64;
    private static final long DEFAULT_MODEL_LOAD_MILLIS = 500;
    private static final long DEFAULT_CACHE_EVENT_LAG_MILLIS = 200;
    private static final int DEFAULT_CACHE_EVENT_LOSS_PERCENT = 5;

    /**
     * Returns settings with a usual pace.
     *
     * @param upstream name, address and capacity
     * @param models models that it holds from the start
     * @param checksFencing whether it refuses orders with an old fencing number
     * @return the settings
     */
    public static EngineSettings of(
            UpstreamSettings upstream, List<ModelVersion> models, boolean checksFencing) {
        return new EngineSettings(
                upstream,
                models,
                checksFencing,
                DEFAULT_TOKEN_MICROS,
                DEFAULT_SLOWDOWN_PERCENT,
                DEFAULT_PROMPT_TOKEN_MICROS,
                DEFAULT_CACHE_BLOCKS,
                DEFAULT_MODEL_LOAD_MILLIS,
                DEFAULT_CACHE_EVENT_LAG_MILLIS,
                DEFAULT_CACHE_EVENT_LOSS_PERCENT);
    }
}
