/** Configuration of forwarding: routes, services, workspaces and limits. */
package org.basilport.gateway.config;
