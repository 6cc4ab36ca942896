/** Weighted fair queueing between workspaces. */
package org.basilport.policy.fairness;
