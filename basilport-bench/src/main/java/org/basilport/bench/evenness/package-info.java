/** Simulation of how evenly selectors with old load data distribute requests. */
package org.basilport.bench.evenness;
