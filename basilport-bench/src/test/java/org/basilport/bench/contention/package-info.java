/** Tests of the simulation of competing callers. */
package org.basilport.bench.contention;
