/** Example programs that embed the libraries without the router daemon. */
package org.bronzewheel.examples;
