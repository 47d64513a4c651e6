/**
 * Fleet-wide rate limits of workspaces and pools, shared among routers by lending unused shares.
 */
package org.bronzewheel.load;
