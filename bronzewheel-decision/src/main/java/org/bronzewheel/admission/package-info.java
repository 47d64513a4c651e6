/** Admission control: rate limits, fair queueing and refusals. */
package org.bronzewheel.admission;
