/** Callers: planned requests, the platform's balancer as they see it, and their replies. */
package org.bronzewheel.traffic;
