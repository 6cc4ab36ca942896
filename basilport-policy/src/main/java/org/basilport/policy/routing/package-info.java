/** Selection of replicas. */
package org.basilport.policy.routing;
