/** The operators' rules: pipelines, request classes, limits and retention. */
package org.bronzewheel.rules;
