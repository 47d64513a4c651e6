/** The comparison of what callers got with what upstreams ran. */
package org.bronzewheel.judge;
