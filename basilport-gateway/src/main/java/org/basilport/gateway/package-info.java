/**
 * Gateway of an instance, which connects the front end, the backend servers, the peers and the
 * configuration.
 */
package org.basilport.gateway;
