/** Parts of a process that are started and stopped. */
package org.bronzewheel.service;
