/** What on-call engineers see of requests: log lines and metrics. */
package org.bronzewheel.observing;
