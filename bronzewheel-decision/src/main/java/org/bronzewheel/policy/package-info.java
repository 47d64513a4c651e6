/** The policies of one pool and of one router, put together for an executor. */
package org.bronzewheel.policy;
