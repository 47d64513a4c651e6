package org.bronzewheel.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The life of one request, put together from the logs of all routers: what was decided about it, in
 * order, and what the routers that had it came to believe meanwhile.
 */
public final class RequestLife {
    private static final Duration BEFORE = Duration.ofSeconds(2);

    private final String requestId;
    private final List<LogLine> own = new ArrayList<>();
    private final List<LogLine> others = new ArrayList<>();
    private long unreadable;

    /**
     * Creates a life without lines.
     *
     * @param requestId the id of the caller's attempt
     */
    public RequestLife(String requestId) {
        this.requestId = requestId;
    }

    /**
     * Takes the lines of a log, in any order.
     *
     * @param lines the lines; those that are no log lines are counted and skipped
     */
    public void read(Stream<String> lines) {
        lines.filter(line -> !line.isBlank()).map(LogLine::parse).forEach(this::take);
    }

    private void take(Optional<LogLine> line) {
        if (line.isEmpty()) {
            unreadable++;
        } else if (line.get().isAbout(requestId)) {
            own.add(line.get());
        } else if (line.get().isAboutNoRequest()) {
            others.add(line.get());
        }
    }

    /**
     * Tells whether any line is about the request.
     *
     * @return whether its life is known
     */
    public boolean isKnown() {
        return !own.isEmpty();
    }

    /**
     * Returns the lines that were no log lines.
     *
     * @return their number
     */
    public long unreadableLines() {
        return unreadable;
    }

    /**
     * Describes the life.
     *
     * @param withBeliefs whether to add what its routers wrote about themselves from two seconds
     *     before its first line to its last, marked with an asterisk
     * @return a line of text each, with the time since the first one
     */
    public List<String> describe(boolean withBeliefs) {
        Comparator<LogLine> byTime = Comparator.comparing(LogLine::at);
        List<LogLine> lines = new ArrayList<>(own);
        lines.sort(byTime);
        if (lines.isEmpty()) {
            return List.of();
        }
        Instant first = lines.get(0).at();
        Instant last = lines.get(lines.size() - 1).at();
        if (withBeliefs) {
            Set<String> vms = new HashSet<>();
            own.forEach(line -> vms.add(line.vmId()));
            others.stream()
                    .filter(line -> vms.contains(line.vmId()))
                    .filter(line -> !line.at().isBefore(first.minus(BEFORE)))
                    .filter(line -> !line.at().isAfter(last))
                    .forEach(lines::add);
            lines.sort(byTime);
        }
        return lines.stream().map(line -> describe(line, first)).toList();
    }

    private static String describe(LogLine line, Instant first) {
        return String.format(
                Locale.ROOT,
                "%+7d ms  %s %s %s%s",
                Duration.between(first, line.at()).toMillis(),
                line.vmId(),
                line.isAboutNoRequest() ? "*" : " ",
                line.level().equals("INFO") ? "" : line.level() + " ",
                line.message());
    }
}
