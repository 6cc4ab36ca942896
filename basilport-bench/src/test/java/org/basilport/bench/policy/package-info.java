/** Tests of the policy benchmark. */
package org.basilport.bench.policy;
