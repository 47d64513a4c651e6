/** Hedged calls and the budget of extra cost. */
package org.bronzewheel.hedging;
