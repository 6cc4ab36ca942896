/** Tests of routers and control planes in one process with virtual time. */
package org.basilport.router;
