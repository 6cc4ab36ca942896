/** Tests of the load generator and of child processes. */
package org.basilport.bench.load;
