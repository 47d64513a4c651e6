/** What operators configure for requests that are passed on whole: routes, services, workspaces. */
package org.bronzewheel.catalog;
