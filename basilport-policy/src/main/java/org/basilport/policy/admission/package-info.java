/** Admission by key-value memory, with bounded queues. */
package org.basilport.policy.admission;
