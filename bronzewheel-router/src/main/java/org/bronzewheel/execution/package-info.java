/** The way of a request through the stages of its pipeline. */
package org.bronzewheel.execution;
