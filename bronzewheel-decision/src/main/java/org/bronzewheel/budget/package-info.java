/** Stage budgets within one deadline. */
package org.bronzewheel.budget;
