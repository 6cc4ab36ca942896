/** Admission control by forecast key-value memory. */
package org.basilport.policy.admission;
