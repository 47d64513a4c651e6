/** Shares of what is scarce, by rank. */
package org.bronzewheel.shares;
