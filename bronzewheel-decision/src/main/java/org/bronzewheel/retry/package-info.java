/** Retries and their shared budget. */
package org.bronzewheel.retry;
