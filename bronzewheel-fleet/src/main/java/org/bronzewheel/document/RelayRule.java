package org.bronzewheel.document;

/** A safety rule of the relay; tests disable rules one by one to show that each is needed. */
enum RelayRule {
    /** A revision below the accepted one is ignored. */
    REVISION_NEVER_FALLS,
    /** Different content under the accepted revision is refused. */
    ONE_CONTENT_PER_REVISION,
    /**
     * A version is evaluated again when its check ends, as another one may have been accepted in
     * the meantime.
     */
    JUDGE_AGAIN_AFTER_CHECK,
    /** A refused version is not fetched or checked again. */
    REFUSED_STAYS_REFUSED
}
