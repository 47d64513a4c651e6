/** The explanation of what a router would decide on a request. */
package org.bronzewheel.explain;
