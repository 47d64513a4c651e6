/** Small stand-ins for the platform and the upstreams, with fault switches and a ledger of runs. */
package org.bronzewheel.standin;
