/**
 * Typed representations of the forwarded messages and the codec that translates them from and to
 * the HTTP messages of a deployment.
 */
package org.basilport.gateway.message;
