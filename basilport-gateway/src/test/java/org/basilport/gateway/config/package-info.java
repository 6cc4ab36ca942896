/** Tests of the forwarding configuration. */
package org.basilport.gateway.config;
