/** HTTP servers that reject requests with ambiguous framing, which allow request smuggling. */
package org.bronzewheel.http;
