/** The choice of queued tasks that are delayed or given up when the capacity is insufficient. */
package org.bronzewheel.shedding;
