/** Logs, metrics and traces of a router. */
package org.bronzewheel.telemetry;
