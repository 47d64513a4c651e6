/** The policies of a pool and a router, as used by an executor. */
package org.bronzewheel.policy;
