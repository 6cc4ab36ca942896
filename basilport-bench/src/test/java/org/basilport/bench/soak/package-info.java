/** Tests of the soak runs. */
package org.basilport.bench.soak;
