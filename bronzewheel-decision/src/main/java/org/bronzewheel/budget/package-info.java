/** Time budgets of stages within a request deadline. */
package org.bronzewheel.budget;
