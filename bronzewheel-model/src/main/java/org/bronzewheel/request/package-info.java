/** Requests, their identifiers, their outcomes and their cost. */
package org.bronzewheel.request;
