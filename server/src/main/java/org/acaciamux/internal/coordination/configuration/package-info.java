/**
 * Replication of records from the platform to every process.
 */
package org.acaciamux.internal.coordination.configuration;
