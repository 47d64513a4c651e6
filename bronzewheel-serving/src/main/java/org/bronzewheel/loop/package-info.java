/** The single-threaded event loop of the serving engine. */
package org.bronzewheel.loop;
