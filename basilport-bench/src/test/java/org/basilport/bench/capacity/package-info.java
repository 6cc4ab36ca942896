/** Tests of the cost of control work. */
package org.basilport.bench.capacity;
