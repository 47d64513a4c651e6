/** Log lines and metrics of requests for operators. */
package org.bronzewheel.observing;
