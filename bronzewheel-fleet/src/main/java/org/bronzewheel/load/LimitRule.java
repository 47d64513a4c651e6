package org.bronzewheel.load;

/** A safety rule of shared limits; tests disable one at a time to show that each is needed. */
enum LimitRule {
    /** A lender does not use what it lent until the loan has certainly expired. */
    LENDER_DOES_WITHOUT,
    /** An owner grants no more than its loans cover for the whole duration of the grants. */
    GRANTS_ARE_COVERED,
    /** What a router may use beyond its share ends with its grant. */
    GRANTS_RUN_OUT
}
