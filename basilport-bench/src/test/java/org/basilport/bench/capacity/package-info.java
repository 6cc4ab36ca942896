/** Tests of the capacity measurement. */
package org.basilport.bench.capacity;
