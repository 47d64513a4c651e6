package org.bronzewheel.catalog;

/**
 * The limits of each upstream of a stage service.
 *
 * @param slots the maximum number of concurrent calls
 * @param queue the maximum number of queued calls
 * @param batch the maximum number of pieces in a call
 * @param callMillis the fixed cost of a call, in milliseconds
 * @param pieceMillis the approximate cost per piece, in milliseconds
 * @param roomBytes the capacity for retained results, in bytes
 * @param resultMillis how long a result is retained after its call, in milliseconds
 */
public record StagePool(
        int slots,
        int queue,
        int batch,
        double callMillis,
        double pieceMillis,
        long roomBytes,
        long resultMillis) {
    /**
     * Returns the expected duration of a call.
     *
     * @param pieces the number of pieces; those that exceed a full call run in other calls
     * @return the time in milliseconds
     */
    public double expectedMillis(int pieces) {
        return callMillis + Math.min(batch, pieces) * pieceMillis;
    }
}
