/** Load generator over loopback and a bounded run of real processes with faults. */
package org.basilport.bench.load;
