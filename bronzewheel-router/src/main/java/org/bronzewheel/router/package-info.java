/** The router process: its settings, its wiring, its start and its stop. */
package org.bronzewheel.router;
