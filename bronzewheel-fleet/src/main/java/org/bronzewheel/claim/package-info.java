/** Majority voting on idempotency keys, so that at most one request runs under a key. */
package org.bronzewheel.claim;
