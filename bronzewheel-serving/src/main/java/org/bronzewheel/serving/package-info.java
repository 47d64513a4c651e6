/** Executes requests from callers: runs their stages, then forwards them to an upstream. */
package org.bronzewheel.serving;
