/** How a router follows what the platform publishes, through outages, gaps and lost history. */
package org.bronzewheel.published;
