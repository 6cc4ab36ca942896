/** Tests of the decisions. */
package org.basilport.policy;
