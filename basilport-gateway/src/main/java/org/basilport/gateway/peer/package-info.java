/** Exchange of load, readiness and configuration freshness between instances. */
package org.basilport.gateway.peer;
