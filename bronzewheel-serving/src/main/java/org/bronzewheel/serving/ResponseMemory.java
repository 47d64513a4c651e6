package org.bronzewheel.serving;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * The memory that responses in progress occupy in this router, with a limit for all of them.
 *
 * <p>Each response has a limit of its own, but an upstream that sends without end on many
 * connections would use up the memory of the process. When the limit is reached, the largest
 * response of the upstream that occupies most is given up.
 */
public final class ResponseMemory {
    private final long limitBytes;
    private final List<Response> responses = new ArrayList<>();
    private long estimatedBytes;

    /**
     * A response in progress.
     *
     * @param upstreamId the upstream that sends it
     * @param bytes supplies the memory that it occupies, in bytes
     * @param giveUp ends its request
     */
    private record Response(String upstreamId, LongSupplier bytes, Runnable giveUp) {}

    /**
     * Creates an empty record.
     *
     * @param limitBytes the memory that all responses may occupy, in bytes
     */
    public ResponseMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Adds a response.
     *
     * @param upstreamId the upstream that sends it
     * @param bytes supplies the memory that it occupies, in bytes
     * @param giveUp ends its request, which removes the response
     * @return removes the response
     */
    Runnable add(String upstreamId, LongSupplier bytes, Runnable giveUp) {
        Response response = new Response(upstreamId, bytes, giveUp);
        responses.add(response);
        return () -> responses.remove(response);
    }

    /**
     * Called when a response has grown. Responses also shrink, so their sum is taken only when it
     * may have reached the limit.
     *
     * @param bytes by how much, in bytes
     */
    void grown(long bytes) {
        estimatedBytes += bytes;
        if (estimatedBytes <= limitBytes) {
            return;
        }
        estimatedBytes = occupiedBytes();
        while (estimatedBytes > limitBytes) {
            Response largest = largestOfLargestUpstream();
            responses.remove(largest);
            largest.giveUp().run();
            estimatedBytes = occupiedBytes();
        }
    }

    private long occupiedBytes() {
        return responses.stream().mapToLong(response -> response.bytes().getAsLong()).sum();
    }

    private Response largestOfLargestUpstream() {
        Map<String, Long> byUpstream =
                responses.stream()
                        .collect(
                                Collectors.groupingBy(
                                        Response::upstreamId,
                                        Collectors.summingLong(r -> r.bytes().getAsLong())));
        return responses.stream()
                .max(
                        Comparator.comparingLong((Response r) -> byUpstream.get(r.upstreamId()))
                                .thenComparingLong(r -> r.bytes().getAsLong()))
                .orElseThrow();
    }
}
