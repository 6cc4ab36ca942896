/** Access to the platform with call rate limits and a circuit breaker. */
package org.basilport.store;
