/** Backend servers: what the directory says of them, connections to them and their load. */
package org.basilport.gateway.backend;
