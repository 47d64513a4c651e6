/**
 * Following the state that the platform publishes, with recovery from outages, gaps and compacted
 * history.
 */
package org.bronzewheel.published;
