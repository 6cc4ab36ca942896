/** Simulation of callers that compete for insufficient capacity. */
package org.basilport.bench.contention;
