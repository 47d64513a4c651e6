/** The operators' asset register: failure domains, pools, upstreams, models and workspaces. */
package org.bronzewheel.inventory;
