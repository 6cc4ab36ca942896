/** Long randomised runs of real routers over in-process stand-ins with a virtual clock. */
package org.basilport.bench.soak;
