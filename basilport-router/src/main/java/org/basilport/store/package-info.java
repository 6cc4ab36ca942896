/** Access to the platform within its call budget, with a circuit breaker. */
package org.basilport.store;
