/** Tests of the policies. */
package org.basilport.policy;
