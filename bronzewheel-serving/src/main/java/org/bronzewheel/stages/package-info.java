/** The stages of requests: shared calls to stage upstreams, their owners, and the results. */
package org.bronzewheel.stages;
