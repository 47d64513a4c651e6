/** Answers kept for repeated requests. */
package org.bronzewheel.answer;
