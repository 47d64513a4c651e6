/** Finds prompt parts that crash model engines and quarantines them, together with the peers. */
package org.bronzewheel.quarantine;
