/** Experiments on the serving policies in virtual time. */
package org.bronzewheel.measure;
