/** Guaranteed shares of scarce capacity by rank. */
package org.bronzewheel.shares;
