/** The execution of requests that are passed on whole: from a caller, by stages, to an upstream. */
package org.bronzewheel.serving;
