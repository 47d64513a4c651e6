/** The HTTP interface for callers and operators. */
package org.bronzewheel.frontdoor;
