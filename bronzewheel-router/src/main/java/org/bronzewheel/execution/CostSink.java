package org.bronzewheel.execution;

import org.bronzewheel.cost.CostKind;
import org.bronzewheel.request.Usage;

/** A receiver of the cost of attempts. */
@FunctionalInterface
interface CostSink {
    void book(String pipeline, String stage, String workspace, CostKind kind, Usage usage);
}
