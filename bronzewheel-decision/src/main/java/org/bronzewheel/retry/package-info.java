/** Retry decisions and the shared retry budget. */
package org.bronzewheel.retry;
