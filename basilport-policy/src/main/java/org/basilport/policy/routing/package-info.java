/** Choice of a replica. */
package org.basilport.policy.routing;
