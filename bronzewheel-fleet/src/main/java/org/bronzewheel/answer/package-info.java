/** Storage and replication of answers for retried requests. */
package org.bronzewheel.answer;
