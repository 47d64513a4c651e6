/** HTTP servers that refuse what two readers could read in two ways. */
package org.bronzewheel.http;
