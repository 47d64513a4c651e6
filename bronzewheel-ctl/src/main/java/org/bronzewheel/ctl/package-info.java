/** The operators' command. */
package org.bronzewheel.ctl;
