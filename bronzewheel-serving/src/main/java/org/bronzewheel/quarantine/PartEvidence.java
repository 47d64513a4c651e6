package org.bronzewheel.quarantine;

import java.util.List;

/**
 * What a router knows of one prompt part, as sent to its peers.
 *
 * @param partId the part
 * @param survived whether an engine has survived a prompt with the part
 * @param crashes the crashes of engines at which the part waited
 */
record PartEvidence(String partId, boolean survived, List<EngineCrash> crashes) {}
