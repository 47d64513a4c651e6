package org.bronzewheel.catalog;

/**
 * The limits of each upstream of a stage service.
 *
 * @param slots the calls that run at the same time
 * @param queue the calls that may wait
 * @param batch the largest number of pieces of a call
 * @param callMillis the fixed time of a call, in milliseconds
 * @param pieceMillis the approximate time of each piece, in milliseconds
 * @param roomBytes the room for results, in bytes
 * @param resultMillis the time that a result is kept after its call, in milliseconds
 */
public record StagePool(
        int slots,
        int queue,
        int batch,
        double callMillis,
        double pieceMillis,
        long roomBytes,
        long resultMillis) {}
