/** Logging as JSON lines. */
package org.bronzewheel.logging;
