package org.bronzewheel.judge;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bronzewheel.traffic.Reply;
import org.bronzewheel.traffic.ReplyKind;
import org.bronzewheel.traffic.RequestResult;

/** Counts of the reasons for which callers got no answer. */
public final class EndCodes {
    private EndCodes() {}

    /**
     * Counts the last replies that are no answers.
     *
     * @param results what callers got
     * @return counts by outcome and error code, or by how far the send got
     */
    public static Map<String, Integer> of(List<RequestResult> results) {
        Map<String, Integer> counts = new TreeMap<>();
        results.stream()
                .flatMap(result -> result.lines().stream())
                .map(line -> line.last())
                .filter(reply -> !reply.isAnswered())
                .forEach(reply -> counts.merge(name(reply), 1, Integer::sum));
        return counts;
    }

    private static String name(Reply reply) {
        return reply.kind() == ReplyKind.COMPLETE
                ? reply.outcome() + " " + reply.code()
                : reply.kind().name();
    }
}
