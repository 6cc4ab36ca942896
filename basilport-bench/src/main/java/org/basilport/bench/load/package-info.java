/** Load benchmark over loopback and fault-injection runs with real processes. */
package org.basilport.bench.load;
