/** Estimation of output lengths. */
package org.basilport.policy.length;
