package org.bronzewheel.claim;

/**
 * The safety rules of the claim protocol. Tests disable them one at a time to show that the model
 * check detects the resulting violation.
 *
 * @param firstVoteStays a voter answers every later claim with its first vote
 * @param majorityGrants a claim is granted only with a majority of seats
 * @param freshVoterAbstains a voter abstains from keys that may have been used before its memory
 *     began
 * @param allListsVote a claim needs a majority under each list that may be in use
 * @param evidenceOfOldLists a router claims only with evidence that a majority does not use a newer
 *     list
 * @param listsSettle older lists are ignored only for keys first used after the newer list came
 *     into use
 * @param peersListsAreKnown a list counts as settled only on a router that has every older list
 *     that a peer still considers
 * @param restartedEvidenceIsVoid evidence from routers that restarted after the key was created is
 *     not counted
 * @param withdrawalIsFinal a withdrawn claim is never granted
 * @param grantsExpire a grant expires long before the votes are discarded
 * @param keysExpire a key older than the retention is refused
 * @param frozenSeatsAbstain a router stops voting for a seat that it has handed over
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
    /** All rules enabled. */
    static final ClaimRules ALL =
            new ClaimRules(true, true, true, true, true, true, true, true, true, true, true, true);
}
