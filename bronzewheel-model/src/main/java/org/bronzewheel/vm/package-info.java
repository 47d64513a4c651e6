/** The published list of VMs. */
package org.bronzewheel.vm;
