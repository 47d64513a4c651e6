/** Claims of idempotency keys: at most one request runs under a key. */
package org.bronzewheel.claim;
