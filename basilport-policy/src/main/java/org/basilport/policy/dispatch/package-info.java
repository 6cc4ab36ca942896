/** Decisions of the forwarding path: server selection, queueing, retries, moves and refusals. */
package org.basilport.policy.dispatch;
