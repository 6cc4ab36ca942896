/** Tests of the decisions of the forwarding path. */
package org.basilport.policy.dispatch;
