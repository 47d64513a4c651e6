/** Programs that embed the library parts without the daemon. */
package org.bronzewheel.examples;
