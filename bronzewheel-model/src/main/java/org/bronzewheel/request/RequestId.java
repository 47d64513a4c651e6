package org.bronzewheel.request;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The id of a request. It contains the VM and the incarnation of the router that holds the request,
 * so that any router can forward to that router without a lookup.
 *
 * <p>Its text form is {@code vmId.incarnation.sequence}, the numbers in base 36.
 *
 * @param vmId the id of the VM of the router that accepted the request
 * @param incarnation the incarnation of that router's process, different after each restart
 * @param sequence the number of the request within the incarnation, from 1
 */
public record RequestId(String vmId, long incarnation, long sequence) {
    private static final int RADIX = 36;
    private static final Pattern TEXT =
            Pattern.compile("([a-z0-9][a-z0-9-]{0,62})\\.([0-9a-z]{1,13})\\.([0-9a-z]{1,13})");

    /**
     * Parses the text form.
     *
     * @param text the text that a caller sent
     * @return the id, or empty if the text is not a valid id
     */
    public static Optional<RequestId> parse(String text) {
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        try {
            long incarnation = Long.parseLong(matcher.group(2), RADIX);
            long sequence = Long.parseLong(matcher.group(3), RADIX);
            return Optional.of(new RequestId(matcher.group(1), incarnation, sequence));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return vmId
                + "."
                + Long.toString(incarnation, RADIX)
                + "."
                + Long.toString(sequence, RADIX);
    }
}
