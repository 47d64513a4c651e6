package org.bronzewheel.catalog;

/**
 * A service that takes a part of a route's requests.
 *
 * @param service the name of the service
 * @param weight its part, relative to the other shares of the route
 */
public record ServiceShare(String service, double weight) {}
