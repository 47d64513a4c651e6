/**
 * The published upstreams, their observed health and announcements, and the selection among them.
 */
package org.bronzewheel.upstreams;
