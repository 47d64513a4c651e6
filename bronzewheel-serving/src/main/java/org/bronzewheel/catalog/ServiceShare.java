package org.bronzewheel.catalog;

/**
 * The share of a route's requests that goes to one service.
 *
 * @param service the name of the service
 * @param weight the weight, relative to the other shares of the route
 */
public record ServiceShare(String service, double weight) {}
