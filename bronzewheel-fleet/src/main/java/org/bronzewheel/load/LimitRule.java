package org.bronzewheel.load;

/** A safety rule of shared limits, which a test can switch off to prove that it is needed. */
enum LimitRule {
    /** A lender does without what it lent until the loan has surely run out. */
    LENDER_DOES_WITHOUT,
    /** A keeper grants no more than what loans cover for the whole time of the grants. */
    GRANTS_ARE_COVERED,
    /** What a router may spend beyond its share ends with its grant. */
    GRANTS_RUN_OUT
}
