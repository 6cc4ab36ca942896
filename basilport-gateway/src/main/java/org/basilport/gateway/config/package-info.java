/** The configuration that forwarding follows: routes, services, workspaces and limits. */
package org.basilport.gateway.config;
