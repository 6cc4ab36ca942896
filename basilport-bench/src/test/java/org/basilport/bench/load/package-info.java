/** Tests of the load generator and of the run of real processes. */
package org.basilport.bench.load;
