/** Logs as lines of JSON. */
package org.bronzewheel.logging;
