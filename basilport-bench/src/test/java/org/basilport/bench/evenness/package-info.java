/** Tests of the simulation of load distribution. */
package org.basilport.bench.evenness;
