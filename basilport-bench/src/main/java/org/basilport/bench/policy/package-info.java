/** Benchmark of generation policies against compact engine models on a virtual clock. */
package org.basilport.bench.policy;
