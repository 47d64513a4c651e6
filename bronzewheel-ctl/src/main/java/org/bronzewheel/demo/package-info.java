/** The demo: stand-ins and routers in one process, under load and failures. */
package org.bronzewheel.demo;
