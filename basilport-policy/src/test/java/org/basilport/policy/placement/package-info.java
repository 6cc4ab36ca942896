/** Tests of placement. */
package org.basilport.policy.placement;
