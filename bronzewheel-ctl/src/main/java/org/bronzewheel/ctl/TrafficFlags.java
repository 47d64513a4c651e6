package org.bronzewheel.ctl;

import com.beust.jcommander.Parameter;
import org.bronzewheel.traffic.TrafficMix;
import org.bronzewheel.traffic.TrafficSettings;

/** The flags that describe a load. */
final class TrafficFlags {
    private static final long MILLIS_PER_SECOND = 1_000;

    @Parameter(
            names = "--rate",
            validateWith = AtLeastOneValidator.class,
            description = "Mean rate, in requests a second.")
    private int requestsPerSecond = 60;

    @Parameter(
            names = "--duration",
            validateWith = AtLeastOneValidator.class,
            description = "How long requests are sent, in seconds.")
    private int durationSeconds = 18;

    @Parameter(
            names = "--ramp-millis",
            description = "How long the rate grows from nothing to its mean, in milliseconds.")
    private long rampMillis = 3_000;

    @Parameter(names = "--seed", description = "The seed of times, kinds and inputs.")
    private long seed = 1;

    @Parameter(
            names = "--mix",
            splitter = WholeValueSplitter.class,
            description = "Kinds of requests: class:pipeline=weight, separated by commas.")
    private String mix = TrafficMix.DEFAULT;

    @Parameter(
            names = "--keyed-percent",
            validateWith = PercentValidator.class,
            description = "Idempotent requests with a key, in percent.")
    private int keyedPercent = 30;

    @Parameter(
            names = "--non-idempotent-keyed-percent",
            validateWith = PercentValidator.class,
            description = "Non-idempotent requests with a key, in percent.")
    private int nonIdempotentKeyedPercent = 80;

    @Parameter(
            names = "--twice-percent",
            validateWith = PercentValidator.class,
            description = "Keyed requests sent to two routers at once, in percent.")
    private int twicePercent = 25;

    @Parameter(
            names = "--streamed-percent",
            validateWith = PercentValidator.class,
            description = "Requests that ask for a stream, in percent.")
    private int streamedPercent = 30;

    TrafficMix mix() {
        return TrafficMix.parse(mix);
    }

    TrafficSettings settings() {
        return new TrafficSettings(
                requestsPerSecond,
                rampMillis,
                durationSeconds * MILLIS_PER_SECOND,
                seed,
                keyedPercent,
                nonIdempotentKeyedPercent,
                twicePercent,
                streamedPercent);
    }
}
