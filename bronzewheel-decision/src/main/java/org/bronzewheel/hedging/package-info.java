/** Hedged calls and the budget for their extra cost. */
package org.bronzewheel.hedging;
