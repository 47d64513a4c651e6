/** The operators' inventory: failure domains, pools, upstreams, models and workspaces. */
package org.bronzewheel.inventory;
