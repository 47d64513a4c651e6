package org.bronzewheel.claim;

/**
 * The safety rules of the protocol, each of which tests can switch off to show that the model check
 * notices.
 *
 * @param firstVoteStays a voter answers every later claim with the first one
 * @param majorityGrants a claim is granted only by a majority of seats
 * @param freshVoterAbstains a voter abstains from keys that may be older than its memory
 * @param allListsVote a claim needs a majority under each list that may be in use
 * @param evidenceOfOldLists a router claims only with evidence that a majority is not on a newer
 *     list
 * @param listsSettle a list votes alone only for keys younger than its use
 * @param peersListsAreKnown a list is settled only for a router that has each older list that a
 *     peer still reckons with
 * @param restartedEvidenceIsVoid evidence of routers that restarted after the key is not counted
 * @param withdrawalIsFinal a claim that withdrew is never granted
 * @param grantsExpire a grant ends long before the votes are forgotten
 * @param keysExpire a key older than the retention is refused
 * @param frozenSeatsAbstain a seat that was handed over votes no more at its old place
 */
record ClaimRules(
        boolean firstVoteStays,
        boolean majorityGrants,
        boolean freshVoterAbstains,
        boolean allListsVote,
        boolean evidenceOfOldLists,
        boolean listsSettle,
        boolean peersListsAreKnown,
        boolean restartedEvidenceIsVoid,
        boolean withdrawalIsFinal,
        boolean grantsExpire,
        boolean keysExpire,
        boolean frozenSeatsAbstain) {
    /** Every rule is in force. */
    static final ClaimRules ALL =
            new ClaimRules(true, true, true, true, true, true, true, true, true, true, true, true);
}
