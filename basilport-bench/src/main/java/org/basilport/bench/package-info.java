/** Benchmarks, capacity measurements and fault-injection tests of the router. */
package org.basilport.bench;
