/**
 * Decisions of the forwarding path: where a request goes, how long it waits, when it is refused.
 */
package org.basilport.policy.dispatch;
