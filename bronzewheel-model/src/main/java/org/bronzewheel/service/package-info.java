/** The lifecycle interface of the components of a process. */
package org.bronzewheel.service;
