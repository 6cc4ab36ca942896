/** Decisions of the forwarding path: server selection, queueing, retries, moves and rejections. */
package org.basilport.policy.dispatch;
