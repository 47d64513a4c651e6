package org.bronzewheel.judge;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bronzewheel.traffic.Reply;
import org.bronzewheel.traffic.ReplyKind;
import org.bronzewheel.traffic.RequestResult;
import org.bronzewheel.traffic.SendLine;

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
                .map(SendLine::last)
                .filter(reply -> !reply.isAnswered())
                .forEach(reply -> counts.merge(name(reply), 1, Integer::sum));
        return counts;
    }

    /**
     * Describes requests that ended without an answer, with each of their sends.
     *
     * @param results what callers got
     * @param limit the largest number of lines
     * @return a line for each
     */
    public static List<String> describe(List<RequestResult> results, int limit) {
        return results.stream()
                .filter(r -> r.lines().stream().noneMatch(line -> line.last().isAnswered()))
                .limit(limit)
                .map(EndCodes::describe)
                .toList();
    }

    private static String describe(RequestResult result) {
        StringBuilder text = new StringBuilder();
        text.append("at %d ms ".formatted(result.request().atMillis()))
                .append(result.request().kind().requestClass())
                .append(':')
                .append(result.request().kind().pipeline())
                .append(result.request().idempotencyKey().isEmpty() ? "" : " with a key");
        for (SendLine line : result.lines()) {
            text.append(" |");
            for (Reply reply : line.replies()) {
                text.append(' ').append(reply.router()).append(' ').append(name(reply));
                text.append(' ').append(reply.body().path("detail").asText()).append(';');
            }
            text.append(" after ").append(line.latencyMillis()).append(" ms");
        }
        return text.toString();
    }

    private static String name(Reply reply) {
        return reply.kind() == ReplyKind.COMPLETE
                ? reply.outcome() + " " + reply.code()
                : reply.kind().name();
    }
}
