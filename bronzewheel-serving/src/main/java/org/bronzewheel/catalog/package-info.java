/**
 * Operator configuration for requests that are proxied to services: routes, services, workspaces.
 */
package org.bronzewheel.catalog;
