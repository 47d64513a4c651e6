package org.bronzewheel.judge;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.bronzewheel.traffic.Reply;
import org.bronzewheel.traffic.ReplyKind;
import org.bronzewheel.traffic.RequestResult;

/**
 * How the single sends of a load ended, repeated ones counted.
 *
 * @param notConnected sends whose connection was refused
 * @param broken sends whose connection broke before the reply was whole
 * @param silent sends that got no reply in time
 */
public record SendCounts(int notConnected, int broken, int silent) {
    /**
     * Counts the sends of a load.
     *
     * @param results what callers got
     * @return the counts
     */
    public static SendCounts of(List<RequestResult> results) {
        return new SendCounts(
                count(results, ReplyKind.NOT_CONNECTED),
                count(results, ReplyKind.BROKEN),
                count(results, ReplyKind.SILENT));
    }

    /**
     * Adds the counts to a JSON object.
     *
     * @param json the object
     */
    public void addTo(ObjectNode json) {
        json.put("notConnected", notConnected);
        json.put("broken", broken);
        json.put("silent", silent);
    }

    private static int count(List<RequestResult> results, ReplyKind kind) {
        return (int)
                results.stream()
                        .flatMap(result -> result.lines().stream())
                        .flatMap(line -> line.replies().stream())
                        .map(Reply::kind)
                        .filter(kind::equals)
                        .count();
    }
}
