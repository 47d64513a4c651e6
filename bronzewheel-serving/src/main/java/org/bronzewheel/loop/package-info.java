/** The one thread of the serving part, with its clocks and timers. */
package org.bronzewheel.loop;
