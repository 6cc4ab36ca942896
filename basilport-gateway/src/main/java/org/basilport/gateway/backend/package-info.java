/** Backend servers: directory entries, connection pools and load. */
package org.basilport.gateway.backend;
