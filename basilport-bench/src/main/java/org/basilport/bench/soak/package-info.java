/** Randomised fault-injection runs of real routers with in-process stand-ins on a virtual clock. */
package org.basilport.bench.soak;
