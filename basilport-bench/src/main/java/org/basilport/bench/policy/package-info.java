/** Benchmark of generation policies with simulated engines on a virtual clock. */
package org.basilport.bench.policy;
