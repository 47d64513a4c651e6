/** Cost accounting by stage and workspace. */
package org.bronzewheel.cost;
