/**
 * Simulation of routers and model engines under load, to measure placement and admission
 * without a fleet.
 */
package org.acaciamux.internal.experiment;
