/** Orders to model engines, issued by one steward for each pool. */
package org.bronzewheel.steward;
