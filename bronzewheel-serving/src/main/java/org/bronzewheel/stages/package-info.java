/** Queues, batches and dispatches the stage work of all routers to stage upstreams. */
package org.bronzewheel.stages;
