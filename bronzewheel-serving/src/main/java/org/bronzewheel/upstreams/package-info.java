/**
 * The upstreams that the platform publishes, what is observed of them, and the choice among them.
 */
package org.bronzewheel.upstreams;
