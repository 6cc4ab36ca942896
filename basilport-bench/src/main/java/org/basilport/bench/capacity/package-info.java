/** Measures how the cost of control work grows with the size of the fleet. */
package org.basilport.bench.capacity;
