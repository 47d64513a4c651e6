package org.bronzewheel.document;

/** A safety rule of the relay, which a test can switch off to prove that it is needed. */
enum RelayRule {
    /** A revision below the accepted one is ignored. */
    REVISION_NEVER_FALLS,
    /** Another content under the accepted revision is refused. */
    ONE_CONTENT_PER_REVISION,
    /** A version is judged again when its check ends, as another one may have come into force. */
    JUDGE_AGAIN_AFTER_CHECK,
    /** A refused version is not taken again. */
    REFUSED_STAYS_REFUSED
}
