/** Admission of work: limits, fair queues and refusals. */
package org.bronzewheel.admission;
