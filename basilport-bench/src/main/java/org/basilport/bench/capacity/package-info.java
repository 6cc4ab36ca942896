/** Measures how the cost of the control plane grows with the size of the fleet. */
package org.basilport.bench.capacity;
