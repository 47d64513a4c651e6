/** Orders to model engines, issued by one elected steward for each pool. */
package org.bronzewheel.steward;
