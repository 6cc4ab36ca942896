/**
 * Typed views of the messages that are forwarded. A codec translates between them and the header
 * names of a deployment.
 */
package org.basilport.gateway.message;
