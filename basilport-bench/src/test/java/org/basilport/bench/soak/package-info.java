/** Tests of the randomised runs. */
package org.basilport.bench.soak;
