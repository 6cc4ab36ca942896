/** Weighted fairness between workspaces. */
package org.basilport.policy.fairness;
