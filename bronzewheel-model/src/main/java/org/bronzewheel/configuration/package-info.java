/** The configuration document: parsing, whole-file validation and revisions. */
package org.bronzewheel.configuration;
