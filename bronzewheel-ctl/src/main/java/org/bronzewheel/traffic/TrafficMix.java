package org.bronzewheel.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;
import org.bronzewheel.rules.Rules;

/**
 * The shares of the kinds of requests in a load.
 *
 * @param kinds at least one kind
 */
public record TrafficMix(List<TrafficKind> kinds) {
    /** The mix of the demo, in the form that {@link #parse} takes. */
    public static final String DEFAULT =
            "urgent:briefing=5,interactive:lookup=4,page:page=5,relaxed:itinerary=2,"
                    + "urgent:landing=2,interactive:voucher=2,interactive:notice=2";

    private static final Pattern KIND = Pattern.compile("([^:,=]+):([^:,=]+)=([1-9]\\d{0,5})");

    /**
     * Parses a mix.
     *
     * @param text {@code class:pipeline=weight}, separated by commas
     * @return the mix
     * @throws BronzewheelException with code INVALID_SETTING where the text is malformed
     */
    public static TrafficMix parse(String text) {
        List<TrafficKind> kinds = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            Matcher matcher = KIND.matcher(part.strip());
            if (!matcher.matches()) {
                throw invalid("'" + part + "' in the mix is not class:pipeline=weight");
            }
            kinds.add(
                    new TrafficKind(
                            matcher.group(1),
                            matcher.group(2),
                            Integer.parseInt(matcher.group(3))));
        }
        return new TrafficMix(List.copyOf(kinds));
    }

    /**
     * Checks that the rules know each class and pipeline.
     *
     * @param rules the rules
     * @throws BronzewheelException with code INVALID_SETTING where they don't
     */
    public void check(Rules rules) {
        for (TrafficKind kind : kinds) {
            if (rules.requestClass(kind.requestClass()).isEmpty()) {
                throw invalid("the mix names the unknown request class " + kind.requestClass());
            }
            if (rules.pipeline(kind.pipeline()).isEmpty()) {
                throw invalid("the mix names the unknown pipeline " + kind.pipeline());
            }
        }
    }

    TrafficKind draw(SplittableRandom random) {
        int total = kinds.stream().mapToInt(TrafficKind::weight).sum();
        int drawn = random.nextInt(total);
        for (TrafficKind kind : kinds) {
            drawn -= kind.weight();
            if (drawn < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("the drawn number exceeds the sum of the weights");
    }

    private static BronzewheelException invalid(String message) {
        return new BronzewheelException(ErrorCode.INVALID_SETTING, message);
    }
}
